package org.banyanhook.daemon.backend;

import static com.google.common.base.Preconditions.checkArgument;

import org.banyanhook.core.configuration.BackendServer;

/**
 * Asks for a connection to a backend server.
 *
 * @param database the name of the database
 * @param member the backend server
 * @param share how many connections this daemon may have to the member
 * @param account the client account that the connection is for
 * @param weight the account's share of the queue
 * @param deadlineNanos when the request is of no more use, by {@link System#nanoTime}
 * @param newConnection true if the connection must not have been idle
 */
public record LeaseRequest(
        String database,
        BackendServer member,
        int share,
        String account,
        int weight,
        long deadlineNanos,
        boolean newConnection) {
    public LeaseRequest {
        checkArgument(share > 0, "share of connections to %s must be positive, was %s", member.name(), share);
        checkArgument(weight > 0, "weight of account %s must be positive, was %s", account, weight);
    }
}
