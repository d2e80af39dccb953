package org.banyanhook.gateway.backend;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.banyanhook.gateway.message.MemberCommand;
import org.banyanhook.gateway.message.SessionStatement;
import org.banyanhook.gateway.message.TransactionState;

/** Rolls back transactions whose callers have left or whose statements have failed. */
final class TransactionRollback {

    /** A member that takes longer to roll back is treated like one whose connection is broken. */
    private static final long TIMEOUT_MILLIS = 2_000;

    private TransactionRollback() {}

    /**
     * Sends ROLLBACK; closes the connection if the member does not confirm it.
     *
     * @param lease the lease of a connection that may be in a transaction
     * @param eventLoop the event loop on which the time-out runs
     * @param onConfirmed called when the connection is out of the transaction
     */
    static void start(ConnectionLease lease, EventLoop eventLoop, Runnable onConfirmed) {
        var timer = eventLoop.schedule(
                () -> lease.close("rollback was not answered in time"), TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        lease.send(new MemberCommand.Own(new SessionStatement.Rollback(), null), (answer, sentNanos) -> {
            timer.cancel(false);
            if (answer == null) {
                return;
            }
            if (answer.error() == null && answer.state() == TransactionState.IDLE) {
                onConfirmed.run();
            } else {
                lease.close("rollback failed");
            }
        });
        lease.flush();
    }
}
