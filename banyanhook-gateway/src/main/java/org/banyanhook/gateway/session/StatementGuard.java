package org.banyanhook.gateway.session;

import java.util.concurrent.TimeUnit;
import org.banyanhook.core.configuration.DatabaseRoute;
import org.banyanhook.core.execution.ShutdownSchedule;
import org.banyanhook.core.execution.TransactionContinuation;
import org.banyanhook.gateway.backend.ConnectionLease;
import org.jspecify.annotations.Nullable;

/** Gathers what decides whether the next statement of a session may still run. Confined to the event loop. */
final class StatementGuard {

    private final SessionContext context;
    private @Nullable ShutdownSchedule shutdown;

    StatementGuard(SessionContext context) {
        this.context = context;
    }

    /** Sets that this process is being stopped. */
    void beginShutdown(ShutdownSchedule schedule) {
        shutdown = schedule;
    }

    /** Returns whether a statement of a route can be answered before this process ends. */
    boolean leavesTimeFor(DatabaseRoute route) {
        ShutdownSchedule begun = shutdown;
        return begun == null
                || begun.leavesTimeFor(
                        context.clock().nowNanos(), TimeUnit.MILLISECONDS.toNanos(route.statementTimeoutMillis()));
    }

    /** Decides whether the next statement of an open transaction may run. */
    TransactionContinuation decide(OpenTransaction transaction, SessionAuthorization authorization) {
        ConnectionLease lease = transaction.lease();
        long takenOutNanos = lease == null
                ? 0
                : context.directory().nanosSinceTakenOut(lease.server().entry().failureDomain());
        return TransactionContinuation.decide(
                authorization.permits(transaction),
                leavesTimeFor(transaction.route()),
                takenOutNanos,
                TimeUnit.MILLISECONDS.toNanos(context.settings().evacuationLimitMillis()) / 2);
    }
}
