package org.banyanhook.daemon.caller;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import org.banyanhook.core.configuration.Database;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.configuration.Route;
import org.banyanhook.core.configuration.Service;
import org.banyanhook.core.session.SessionToken;
import org.jspecify.annotations.Nullable;

/**
 * A caller's request with the attributes that the filters add to it.
 *
 * <p>The filters run one after another. The mutable fields are volatile because the filters may run on different
 * threads.
 */
public final class CallerExchange {

    /** The longest deadline that a caller may request, in milliseconds. */
    public static final long MAXIMUM_DEADLINE_MILLIS = 60_000;

    /** The account name under which requests without a key are queued, logged and reported in metrics. */
    public static final String UNAUTHENTICATED_ACCOUNT = "(open)";

    /** The deadline of requests that specify none, unless the settings override it. */
    static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(5);

    private final String requestId;
    private final CallerTarget target;
    private final CallerHeaders headers;
    private final CallerBody body;
    private final FleetConfiguration configuration;
    private final long deadlineNanos;
    private final OutstandingRequest outstandingRequest;
    private volatile @Nullable String account;
    private volatile @Nullable SessionToken session;
    private volatile @Nullable Route route;
    private volatile @Nullable Database database;

    CallerExchange(
            String requestId,
            CallerTarget target,
            CallerHeaders headers,
            CallerBody body,
            FleetConfiguration configuration,
            long deadlineNanos,
            OutstandingRequest outstandingRequest) {
        this.requestId = requestId;
        this.target = target;
        this.headers = headers;
        this.body = body;
        this.configuration = configuration;
        this.deadlineNanos = deadlineNanos;
        this.outstandingRequest = outstandingRequest;
    }

    /** Returns the request id, which appears in the reply and in the log. */
    public String requestId() {
        return requestId;
    }

    /** Returns the requested operation. */
    public CallerOperation operation() {
        return target.operation();
    }

    /** Returns the name of the service in the path. */
    public String serviceName() {
        return target.service();
    }

    /** Returns the configuration that was in force when the request arrived. */
    public FleetConfiguration configuration() {
        return configuration;
    }

    /** Returns the deadline of the request as a {@link System#nanoTime} value. */
    public long deadlineNanos() {
        return deadlineNanos;
    }

    /** Returns the time left until the deadline; zero if it has passed. */
    public Duration remainingTime() {
        return Duration.ofNanos(Math.max(0, deadlineNanos - System.nanoTime()));
    }

    /** Returns the authenticated client account, or empty if the request has no key. */
    public Optional<String> account() {
        return Optional.ofNullable(account);
    }

    /** Returns the client account, or {@link #UNAUTHENTICATED_ACCOUNT} if the request has no key. */
    public String effectiveAccount() {
        return account().orElse(UNAUTHENTICATED_ACCOUNT);
    }

    /** Returns the route, or empty if the request names none or the routing filter has not run yet. */
    public Optional<Route> route() {
        return Optional.ofNullable(route);
    }

    OutstandingRequest outstandingRequest() {
        return outstandingRequest;
    }

    CallerTarget target() {
        return target;
    }

    CallerHeaders headers() {
        return headers;
    }

    CallerBody body() {
        return body;
    }

    Optional<Service> service() {
        return configuration.service(target.service());
    }

    SessionToken session() {
        return requireNonNull(session, "the session filter must run first");
    }

    Database database() {
        return requireNonNull(database, "the routing filter must run first");
    }

    void account(String value) {
        account = value;
    }

    void session(SessionToken value) {
        session = value;
    }

    void route(Route value) {
        route = value;
    }

    void database(Database value) {
        database = value;
    }
}
