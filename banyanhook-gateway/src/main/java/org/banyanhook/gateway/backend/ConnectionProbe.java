package org.banyanhook.gateway.backend;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.banyanhook.gateway.message.MemberAnswer;
import org.banyanhook.gateway.message.MemberCommand;
import org.banyanhook.gateway.message.MemberReport;
import org.jspecify.annotations.Nullable;

/**
 * Sends commands on an idle connection to the member, or on a new one that is closed after the answer if none is idle.
 * Used on the event loop only.
 */
public final class ConnectionProbe implements MemberProbe {

    private final GroupContext context;

    /**
     * Creates a probe.
     *
     * @param context the dependencies that all groups share
     */
    public ConnectionProbe(GroupContext context) {
        this.context = context;
    }

    @Override
    public CompletableFuture<Optional<MemberReport>> send(
            MemberServer server, MemberCommand command, Duration timeout) {
        for (MemberConnection idle : server.connections()) {
            if (idle.isIdle()) {
                return sendOn(idle, command, timeout);
            }
        }
        CompletableFuture<Optional<MemberReport>> result = new CompletableFuture<>();
        var accounts = context.directory().configuration().accounts();
        if (accounts.isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        MemberConnection connection =
                new MemberConnection(server, accounts.get(0).name(), context.clock(), new ProbeOwner(command, result));
        connection.connect(context, (int) timeout.toMillis());
        var timer = context.eventLoops()
                .next()
                .schedule(() -> connection.close("probe timed out"), timeout.toMillis(), TimeUnit.MILLISECONDS);
        return result.whenComplete((report, failure) -> timer.cancel(false));
    }

    private CompletableFuture<Optional<MemberReport>> sendOn(
            MemberConnection connection, MemberCommand command, Duration timeout) {
        CompletableFuture<Optional<MemberReport>> result = new CompletableFuture<>();
        ConnectionLease lease = connection.lease(false);
        var timer = context.eventLoops()
                .next()
                .schedule(() -> connection.close("probe timed out"), timeout.toMillis(), TimeUnit.MILLISECONDS);
        connection.send(command, (answer, sentNanos) -> {
            timer.cancel(false);
            connection.endLease(lease);
            result.complete(logReport(connection, command, answer));
        });
        connection.flush();
        return result;
    }

    private Optional<MemberReport> logReport(
            MemberConnection connection, MemberCommand command, @Nullable MemberAnswer answer) {
        Optional<MemberReport> report =
                answer == null ? Optional.empty() : context.codec().report(answer);
        context.log()
                .line("probe")
                .with("member", connection.server().name())
                .with("command", command.getClass().getSimpleName())
                .with(
                        "error",
                        answer == null || answer.error() == null
                                ? null
                                : answer.error().name())
                .with(
                        "position",
                        report.map(found -> found.position().toString()).orElse(null))
                .with("term", report.map(MemberReport::term).orElse(-1L))
                .write();
        return report;
    }

    private final class ProbeOwner implements MemberConnection.Owner {
        private final MemberCommand command;
        private final CompletableFuture<Optional<MemberReport>> result;

        private ProbeOwner(MemberCommand command, CompletableFuture<Optional<MemberReport>> result) {
            this.command = command;
            this.result = result;
        }

        @Override
        public void onOpened(MemberConnection connection, MemberAnswer opened) {
            if (opened.error() != null) {
                return;
            }
            connection.send(command, (answer, sentNanos) -> {
                result.complete(logReport(connection, command, answer));
                connection.close("probe completed");
            });
            connection.flush();
        }

        @Override
        public void onAnswer(MemberConnection connection, MemberAnswer answer, long sentNanos) {
            connection.server().recordAnswer(answer.position(), context.clock().nowNanos());
        }

        @Override
        public void onClosed(MemberConnection connection, String reason) {
            if (!result.isDone()) {
                context.log()
                        .line("probe")
                        .with("member", connection.server().name())
                        .with("command", command.getClass().getSimpleName())
                        .with("error", reason)
                        .write();
                result.complete(Optional.empty());
            }
        }

        @Override
        public void onMisuse(MemberConnection connection, String operation) {
            throw new IllegalStateException("the connection of a probe is not leased: " + operation);
        }
    }
}
