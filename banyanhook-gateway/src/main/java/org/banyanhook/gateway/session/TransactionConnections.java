package org.banyanhook.gateway.session;

import org.banyanhook.gateway.backend.DatabaseGroup;
import org.banyanhook.gateway.backend.MemberConnection;
import org.banyanhook.gateway.message.MemberCommand;
import org.banyanhook.gateway.message.SessionStatement;
import org.banyanhook.gateway.message.TransactionState;

/** Operations on the member connections of transactions. */
final class TransactionConnections {

    private TransactionConnections() {}

    /**
     * Rolls the transaction of a connection back and gives the connection back once the member said so.
     *
     * @param connection a connection inside a transaction
     * @param group the group that it belongs to
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
