package org.banyanhook.gateway.session;

import java.util.Map;
import org.banyanhook.core.configuration.DatabaseRoute;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.gateway.message.ClientRequest;
import org.banyanhook.gateway.message.SessionStatement.PreparedShape;
import org.jspecify.annotations.Nullable;

/**
 * The statement to run and the session state that it depends on.
 *
 * @param request the request of the caller
 * @param route the route of the database
 * @param account the client account
 * @param weight the weight of the account in the queues
 * @param transaction the transaction that the statement belongs to, or null
 * @param sessionValues the values that the caller has set in the session
 * @param preparedStatement the prepared statement that is executed, or null
 * @param sessionPosition the log position that reads of the session must include, or null
 */
record StatementTask(
        ClientRequest.Run request,
        DatabaseRoute route,
        String account,
        int weight,
        @Nullable OpenTransaction transaction,
        Map<String, String> sessionValues,
        @Nullable PreparedShape preparedStatement,
        @Nullable LogPosition sessionPosition) {}
