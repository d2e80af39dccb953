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
 * A caller's request and what the filters found out about it.
 *
 * <p>The filters run one after the other, each after the one before; the fields are volatile because they may run on
 * different threads.
 */
public final class CallerExchange {

    /** The longest time that a caller may wait, in milliseconds. */
    public static final long MAXIMUM_DEADLINE_MILLIS = 60_000;

    /** The name under which requests without a key wait in queues. */
    public static final String UNAUTHENTICATED_ACCOUNT = "(open)";

    /** How long a caller waits that names no deadline, unless the settings say otherwise. */
    static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(5);

    private final String requestId;
    private final CallerTarget target;
    private final CallerHeaders headers;
    private final CallerBody body;
    private final FleetConfiguration configuration;
    private final long deadlineNanos;
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
            long deadlineNanos) {
        this.requestId = requestId;
        this.target = target;
        this.headers = headers;
        this.body = body;
        this.configuration = configuration;
        this.deadlineNanos = deadlineNanos;
    }

    /** Returns the id of the request, for the caller and the log. */
    public String requestId() {
        return requestId;
    }

    /** Returns what the caller asks for. */
    public CallerOperation operation() {
        return target.operation();
    }

    /** Returns the name of the service that the path names. */
    public String serviceName() {
        return target.service();
    }

    /** Returns the configuration that was in force when the request arrived. */
    public FleetConfiguration configuration() {
        return configuration;
    }

    /** Returns when the caller stops waiting, by {@link System#nanoTime}. */
    public long deadlineNanos() {
        return deadlineNanos;
    }

    /** Returns how long the caller still waits, not negative. */
    public Duration remainingTime() {
        return Duration.ofNanos(Math.max(0, deadlineNanos - System.nanoTime()));
    }

    /** Returns the client account whose key came with the request, or empty on a route open to all. */
    public Optional<String> account() {
        return Optional.ofNullable(account);
    }

    /** Returns the name under which the request waits in queues. */
    public String effectiveAccount() {
        return account().orElse(UNAUTHENTICATED_ACCOUNT);
    }

    /** Returns the route, once the target filter found it. */
    public Optional<Route> route() {
        return Optional.ofNullable(route);
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
        return requireNonNull(database, "the target filter must run first");
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
