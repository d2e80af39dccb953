package org.banyanhook.gateway.backend;

import org.banyanhook.gateway.message.SessionError;

/** Receives the result of a connection request. Exactly one method is called, once. */
public interface ConnectionRequestListener {
    /**
     * Handles that a connection was leased for the request. The lease must be ended.
     *
     * @param lease the lease of the connection
     * @param placement the member chosen and the state that the choice was based on
     */
    void onConnectionLeased(ConnectionLease lease, Placement placement);

    /**
     * Handles that the request was refused; nothing was sent to a member.
     *
     * @param error the error
     * @param detail the details, with the remedy
     */
    void onRefused(SessionError error, String detail);
}
