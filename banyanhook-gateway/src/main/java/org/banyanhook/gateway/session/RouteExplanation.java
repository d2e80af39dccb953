package org.banyanhook.gateway.session;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.banyanhook.core.configuration.DatabaseRoute;
import org.banyanhook.core.configuration.SessionConfiguration;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.gateway.backend.ConnectionLease;
import org.banyanhook.gateway.backend.ConnectionRequest;
import org.banyanhook.gateway.backend.ConnectionRequestListener;
import org.banyanhook.gateway.backend.DatabaseGroups;
import org.banyanhook.gateway.backend.Placement;
import org.banyanhook.gateway.backend.SelectionReport;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.message.SessionError;
import org.banyanhook.gateway.operation.HttpEndpoint;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.jspecify.annotations.Nullable;

/**
 * Answers which member a statement would run at now, and why, as JSON. Made by the code that places statements; sends
 * nothing to a member and changes nothing. Confined to the event loop.
 */
public final class RouteExplanation {

    private static final Pattern POSITION = Pattern.compile("(\\d{1,18})[:.](\\d{1,18})");
    private static final String WRITE = "write";
    private static final String READ = "read";

    private final JsonFactory jsonFactory = new JsonFactory();
    private final FleetDirectory directory;
    private final DatabaseGroups groups;
    private final MonotonicClock clock;
    private final DoubleSupplier draws;

    /**
     * Creates the explanation.
     *
     * @param directory provides the configuration
     * @param groups the database groups
     * @param clock the monotonic clock
     * @param draws supplies random values, at least 0 and less than 1
     */
    public RouteExplanation(
            FleetDirectory directory, DatabaseGroups groups, MonotonicClock clock, DoubleSupplier draws) {
        this.directory = directory;
        this.groups = groups;
        this.clock = clock;
        this.draws = draws;
    }

    /**
     * Answers a request.
     *
     * @param parameters {@code database}, {@code account}, and optionally {@code kind} ({@code read}, the default, or
     *     {@code write}) and {@code position} (TERM:NUMBER)
     * @return the explanation, or status 400 with the remedy
     */
    public HttpEndpoint.Response respond(Map<String, List<String>> parameters) {
        String database = first(parameters, "database", "");
        String account = first(parameters, "account", "");
        String kind = first(parameters, "kind", READ);
        String position = first(parameters, "position", "");
        SessionConfiguration configuration = directory.configuration();
        DatabaseRoute route = configuration.route(database).orElse(null);
        Matcher positionMatcher = POSITION.matcher(position);
        if (route == null) {
            return HttpEndpoint.Response.badRequest("no database '" + database + "'; name one of the configuration");
        }
        if (!route.openToAll()
                && configuration.accounts().stream()
                        .noneMatch(known -> known.name().equals(account))) {
            return HttpEndpoint.Response.badRequest("no account '" + account + "'; name one of the configuration");
        }
        if (!kind.equals(READ) && !kind.equals(WRITE)) {
            return HttpEndpoint.Response.badRequest("unknown kind '" + kind + "'; use read or write");
        }
        if (!position.isEmpty() && !positionMatcher.matches()) {
            return HttpEndpoint.Response.badRequest("invalid position '" + position + "'; use TERM:NUMBER");
        }
        LogPosition sessionPosition = position.isEmpty()
                ? null
                : new LogPosition(Long.parseLong(positionMatcher.group(1)), Long.parseLong(positionMatcher.group(2)));
        SelectionReport report = groups.group(route.group())
                .explain(
                        request(configuration, route, account, kind.equals(WRITE), sessionPosition),
                        draws.getAsDouble());
        return new HttpEndpoint.Response(true, toJson(route, account, kind, report));
    }

    private ConnectionRequest request(
            SessionConfiguration configuration,
            DatabaseRoute route,
            String account,
            boolean write,
            @Nullable LogPosition sessionPosition) {
        long now = clock.nowNanos();
        return new ConnectionRequest(
                account,
                1,
                StatementRequirements.of(
                        configuration,
                        route,
                        account,
                        StatementRequirements.requiresPrimary(route, write),
                        sessionPosition),
                now,
                now + TimeUnit.MILLISECONDS.toNanos(route.statementTimeoutMillis()),
                new UnusedListener());
    }

    private static String first(Map<String, List<String>> parameters, String name, String fallback) {
        List<String> values = parameters.getOrDefault(name, List.of());
        return values.isEmpty() ? fallback : values.get(0);
    }

    private String toJson(DatabaseRoute route, String account, String kind, SelectionReport report) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = jsonFactory.createGenerator(text)) {
            json.writeStartObject();
            json.writeStringField("database", route.databaseName());
            json.writeStringField("group", route.group());
            json.writeStringField("account", account);
            json.writeStringField("kind", kind);
            json.writeBooleanField("primaryOnly", report.primaryOnly());
            json.writeBooleanField("random", report.random());
            json.writeNumberField("draw", report.draw());
            json.writeStringField("choice", report.choice());
            json.writeArrayFieldStart("members");
            for (SelectionReport.Member member : report.members()) {
                write(json, member);
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        return text.toString();
    }

    private static void write(JsonGenerator json, SelectionReport.Member member) throws IOException {
        json.writeStartObject();
        json.writeStringField("member", member.name());
        json.writeStringField("role", member.primary() ? "primary" : "replica");
        json.writeStringField("region", member.region());
        json.writeStringField("position", member.position().toString());
        json.writeNumberField("slots", member.slots());
        json.writeNumberField("running", member.running());
        json.writeNumberField("inFlight", member.inFlight());
        json.writeNumberField("knee", member.knee());
        json.writeNumberField("serviceMillis", member.serviceMillis());
        json.writeStringField(
                "access", member.access() == null ? null : member.access().name());
        json.writeNumberField("costMillis", member.costMillis());
        json.writeStringField("exclusion", member.exclusion());
        json.writeEndObject();
    }

    /** The listener of a request that is never submitted. */
    private static final class UnusedListener implements ConnectionRequestListener {
        @Override
        public void onConnectionLeased(ConnectionLease lease, Placement placement) {
            throw new IllegalStateException("a request that is only explained was placed");
        }

        @Override
        public void onRefused(SessionError error, String detail) {
            throw new IllegalStateException("a request that is only explained was submitted");
        }
    }
}
