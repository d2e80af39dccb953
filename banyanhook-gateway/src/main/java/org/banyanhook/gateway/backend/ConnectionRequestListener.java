package org.banyanhook.gateway.backend;

import org.banyanhook.gateway.message.SessionError;

/** Takes what became of a piece of work. Exactly one method is called, once. */
public interface ConnectionRequestListener {
    /**
     * Handles that a connection was leased for the work. It must be given back.
     *
     * @param connection the connection
     * @param placement why this member was chosen
     */
    void onConnectionLeased(MemberConnection connection, Placement placement);

    /**
     * Handles that the work was not placed; nothing was sent.
     *
     * @param error why
     * @param detail more about it, with the remedy
     */
    void onRefused(SessionError error, String detail);
}
