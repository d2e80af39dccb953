package org.banyanhook.gateway.backend;

import java.util.Map;
import org.banyanhook.gateway.message.MemberCommand;
import org.banyanhook.gateway.message.SessionStatement.PreparedShape;

/**
 * The exclusive use of a member connection, by one statement, one transaction or one command of this daemon. After the
 * lease has ended, the connection may serve another session; whatever is then attempted through this lease is refused
 * and logged. Used on the event loop only.
 */
public final class ConnectionLease {

    private final MemberConnection connection;
    private final boolean reliesOnPrimary;

    ConnectionLease(MemberConnection connection, boolean reliesOnPrimary) {
        this.connection = connection;
        this.reliesOnPrimary = reliesOnPrimary;
    }

    /** Returns whether the member is reached through a home, which judges its answers itself. */
    public boolean isAtHome() {
        return connection.isAtHome();
    }

    /** Returns how long the member took to answer the last command, given how long the answer took to arrive here. */
    public long memberLatencyNanos(long elapsedNanos) {
        return connection.memberLatencyNanos(elapsedNanos);
    }

    /** Returns the member. */
    public MemberServer server() {
        return connection.server();
    }

    /** Returns whether commands can be sent. */
    public boolean isUsable() {
        return isCurrent() && connection.isUsable();
    }

    /** Returns whether the lease has not ended yet. */
    boolean isCurrent() {
        return connection.isLeasedBy(this);
    }

    /** Returns whether the work done under this lease relies on the member being the primary. */
    boolean reliesOnPrimary() {
        return reliesOnPrimary;
    }

    MemberConnection connection() {
        return connection;
    }

    /**
     * Sends a command. Call {@link #flush()} after the last one.
     *
     * @param command the command
     * @param listener handles the answer; called with null at once if the lease has ended
     */
    public void send(MemberCommand command, MemberConnection.AnswerListener listener) {
        if (checkCurrent("send")) {
            connection.send(command, listener);
        } else {
            listener.onAnswer(null, connection.nowNanos());
        }
    }

    /** Writes the commands sent so far to the network. */
    public void flush() {
        connection.flush();
    }

    /**
     * Sets the variables of a session on the connection, with as few commands as possible.
     *
     * @param variables the variables of the session
     */
    public void applySessionVariables(Map<String, String> variables) {
        if (checkCurrent("set variables")) {
            connection.applySessionVariables(variables);
        }
    }

    /**
     * Prepares a statement if it is not prepared on the connection yet.
     *
     * @param shape the statement
     * @return its name on this connection
     */
    public String prepare(PreparedShape shape) {
        return checkCurrent("prepare") ? connection.prepare(shape) : "";
    }

    /** Returns whether the member has not confirmed a change of the session state yet, so that a statement waits. */
    public boolean awaitsStateAnswer() {
        return connection.awaitsStateAnswer();
    }

    /** Discards the session state if too many statements are prepared; call outside a transaction. */
    public void discardExcessStatements() {
        if (checkCurrent("discard")) {
            connection.discardExcessStatements();
        }
    }

    /**
     * Sets whether more of the member's answer is read now. Reading is resumed when the lease ends.
     *
     * @param value false while the caller cannot take any more rows
     */
    public void reading(boolean value) {
        if (isCurrent()) {
            connection.reading(value);
        }
    }

    /**
     * Closes the connection; the listeners of pending commands receive null.
     *
     * @param reason the reason, for the log
     */
    public void close(String reason) {
        if (checkCurrent("close")) {
            connection.close(reason);
        }
    }

    /** Returns whether the lease is current; logs the operation as a fault otherwise. */
    boolean checkCurrent(String operation) {
        boolean current = isCurrent();
        if (!current) {
            connection.reportMisuse(operation);
        }
        return current;
    }
}
