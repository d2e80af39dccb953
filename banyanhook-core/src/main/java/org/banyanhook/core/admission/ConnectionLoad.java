package org.banyanhook.core.admission;

/**
 * What a client connection holds and how it makes progress.
 *
 * @param connection the number of the connection
 * @param account the client account, or an empty text before the session is open
 * @param heldBytes the bytes that closing the connection frees: unfinished messages, queued requests, unread answers
 * @param requestInProgress whether a request of the connection is in progress
 * @param opened whether the session has been opened
 * @param connectedMillis the time since the connection was accepted, in milliseconds
 * @param unfinishedBytes the bytes of the message that is being received; 0 if there is none, or reading is suspended
 * @param unfinishedMillis the time since that message began, in milliseconds
 * @param stalledMillis the time for which the client has taken nothing of a waiting answer, in milliseconds
 */
public record ConnectionLoad(
        long connection,
        String account,
        long heldBytes,
        boolean requestInProgress,
        boolean opened,
        long connectedMillis,
        long unfinishedBytes,
        long unfinishedMillis,
        long stalledMillis) {}
