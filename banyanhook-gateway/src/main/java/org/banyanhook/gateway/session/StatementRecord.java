package org.banyanhook.gateway.session;

import java.util.concurrent.TimeUnit;
import org.banyanhook.core.configuration.DatabaseRoute;
import org.banyanhook.gateway.backend.Placement;
import org.banyanhook.gateway.message.ClientRequest;
import org.jspecify.annotations.Nullable;

/** Counts the outcome of a statement and writes its line to the log. */
final class StatementRecord {

    private StatementRecord() {}

    /**
     * The outcome of a statement.
     *
     * @param request the request of the caller
     * @param account the client account
     * @param route the route of the database
     * @param outcome success, or the error that was reported
     * @param detail the explanation of the error, or null
     * @param attempts on how many connections the statement was tried
     * @param placement the last choice of a member, or null if none was chosen
     * @param arrivedNanos when the request arrived
     */
    record Outcome(
            ClientRequest.Run request,
            String account,
            DatabaseRoute route,
            String outcome,
            @Nullable String detail,
            int attempts,
            @Nullable Placement placement,
            long arrivedNanos) {}

    /**
     * Records an outcome.
     *
     * @param context provides the log and the metrics
     * @param result the outcome
     * @param member the member that was used last, or null
     * @param term the newest known term of the group
     */
    static void write(SessionContext context, Outcome result, @Nullable String member, long term) {
        long now = context.clock().nowNanos();
        long elapsedNanos = now - result.arrivedNanos();
        context.metrics().count("statements", "outcome", result.outcome());
        context.metrics().recordLatency("statement.latency", elapsedNanos);
        var line = context.log()
                .line("statement")
                .with("request", result.request().requestId())
                .with("account", result.account())
                .with("database", result.route().databaseName())
                .with("group", result.route().group())
                .with("statement", result.request().statement().getClass().getSimpleName())
                .with("version", context.directory().configuration().version())
                .with("member", member)
                .with("term", term)
                .with("attempts", result.attempts())
                .with("outcome", result.outcome())
                .with("detail", result.detail())
                .with("ms", TimeUnit.NANOSECONDS.toMillis(elapsedNanos));
        Placement placement = result.placement();
        if (placement != null) {
            line.with("primary", placement.primary())
                    .with("access", placement.access().name())
                    .with("candidates", placement.candidates())
                    .with("queuedMs", TimeUnit.NANOSECONDS.toMillis(placement.queuedNanos()));
            if (placement.minimumPosition() != null) {
                line.with("floor", placement.minimumPosition().position().toString())
                        .with(
                                "floorAgeMs",
                                TimeUnit.NANOSECONDS.toMillis(
                                        now - placement.minimumPosition().coveredUntilNanos()));
            }
        }
        line.write();
    }
}
