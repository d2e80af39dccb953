package org.banyanhook.gateway.session;

import org.banyanhook.gateway.backend.DatabaseGroup;
import org.banyanhook.gateway.backend.MemberConnection;
import org.banyanhook.gateway.message.MemberCommand;
import org.banyanhook.gateway.message.SessionStatement;
import org.banyanhook.gateway.message.TransactionState;

/** Operations on member connections that are in a transaction. */
final class TransactionConnections {

    private TransactionConnections() {}

    /**
     * Rolls back the transaction of a connection, and releases the connection when the member has confirmed it.
     *
     * @param connection a connection that is in a transaction
     * @param group the database group that the connection belongs to
     */
    static void rollBack(MemberConnection connection, DatabaseGroup group) {
        connection.send(new MemberCommand.Own(new SessionStatement.Rollback(), null), (answer, sentNanos) -> {
            if (answer == null) {
                return;
            }
            if (answer.error() == null && answer.state() == TransactionState.IDLE) {
                group.release(connection);
            } else {
                connection.close("rollback failed");
            }
        });
        connection.flush();
    }
}
