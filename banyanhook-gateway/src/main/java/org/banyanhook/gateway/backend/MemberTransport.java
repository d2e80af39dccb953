package org.banyanhook.gateway.backend;

import org.banyanhook.gateway.message.MemberAnswer;
import org.banyanhook.gateway.message.MemberCommand;

/** Carries the commands of a member connection to the member. Used on the event loop only. */
public interface MemberTransport {

    /** Receives the answers. */
    interface Receiver {
        /** Handles the answer to the oldest command that has none. */
        void onAnswer(MemberAnswer answer);

        /** Handles that no more answers will arrive. */
        void onLost(String reason);
    }

    /** Sends a command with the next {@link #flush()}. */
    void write(MemberCommand command);

    /** Sends the commands written so far. */
    void flush();

    /** Sets whether more answers are read now. */
    void reading(boolean value);

    /**
     * Closes the transport.
     *
     * @param abandonsCommands whether commands without an answer are to be withdrawn, as far as possible
     */
    void close(boolean abandonsCommands);

    /** Returns how long the member took to answer the last command, given how long the answer took to arrive here. */
    default long memberLatencyNanos(long elapsedNanos) {
        return elapsedNanos;
    }
}
