package org.banyanhook.daemon.backend;

import static com.google.common.base.Preconditions.checkArgument;

import org.banyanhook.core.configuration.BackendServer;

/**
 * A request for the lease of a connection to a backend server.
 *
 * @param database the name of the database
 * @param member the backend server
 * @param share the maximum number of connections of this daemon to the member
 * @param account the client account that requests the connection
 * @param weight the account's weight in the fair queue
 * @param deadlineNanos the deadline of the request, by {@link System#nanoTime}
 * @param newConnection true to open a connection instead of leasing an idle one
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
        checkArgument(share > 0, "connection share for %s must be positive, was %s", member.name(), share);
        checkArgument(weight > 0, "weight of account %s must be positive, was %s", account, weight);
    }
}
