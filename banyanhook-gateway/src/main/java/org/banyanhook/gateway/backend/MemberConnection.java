package org.banyanhook.gateway.backend;

import com.google.common.base.Preconditions;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.banyanhook.gateway.message.MemberAnswer;
import org.banyanhook.gateway.message.MemberCommand;
import org.banyanhook.gateway.message.MemberRows;
import org.banyanhook.gateway.message.SessionError;
import org.banyanhook.gateway.message.SessionStatement;
import org.banyanhook.gateway.message.SessionStatement.PreparedShape;
import org.banyanhook.gateway.message.TransactionState;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.jspecify.annotations.Nullable;

/**
 * One connection to a member, opened for one client account. Commands are answered in order, so several may be pending.
 * A caller's statement waits until the member has confirmed the session state that it relies on, since a member that
 * rejects a change of the state runs what is sent behind it with the state of another session. A connection whose state
 * is uncertain is closed and never reused. The member is reached over the network, or through a home, for one use only.
 * Used on the event loop only.
 */
public final class MemberConnection extends SimpleChannelInboundHandler<Object> implements MemberTransport.Receiver {

    /** At this many prepared statements on one connection, all of them are discarded and prepared again when needed. */
    private static final int MAXIMUM_PREPARED_STATEMENTS = 200;

    /** How often a connection is leased for its own account in a row before other accounts may replace it. */
    private static final int MAXIMUM_CONSECUTIVE_LEASES = 8;

    private final MemberServer server;
    private final String account;
    private final MonotonicClock clock;
    private final Owner owner;
    private final Deque<PendingCommand> pendingCommands = new ArrayDeque<>();
    private final Deque<WaitingCommand> waitingCommands = new ArrayDeque<>();
    private final Map<String, String> sessionVariables = new LinkedHashMap<>();
    private final Map<PreparedShape, String> preparedNames = new HashMap<>();
    private @Nullable MemberTransport transport;
    private int unconfirmedStateCommands;
    private boolean atHome;
    private boolean lent;
    private boolean open;
    private boolean closed;
    private @Nullable ConnectionLease currentLease;
    private boolean beyondShare;
    private int consecutiveLeases;
    private long lastLeasedNanos;

    private record PendingCommand(long sentNanos, AnswerListener listener) {}

    /** A command that is sent once the session state is confirmed. */
    private record WaitingCommand(MemberCommand command, AnswerListener listener) {}

    /** Handles the answer to one command. */
    @FunctionalInterface
    public interface AnswerListener {
        /**
         * Handles an answer.
         *
         * @param answer the answer, or null if the connection was closed before a complete one arrived; a command that
         *     was not sent because the session state was not confirmed gets {@link SessionError#OVERLOADED}
         * @param sentNanos when the command was sent
         */
        void onAnswer(@Nullable MemberAnswer answer, long sentNanos);

        /**
         * Handles rows of an answer that is not complete yet.
         *
         * @param rows the rows
         * @return whether the listener takes them; otherwise the connection is closed
         */
        default boolean onRows(List<String> rows) {
            return false;
        }
    }

    /** The owner of a connection, notified of its events. */
    interface Owner {
        /** Handles that the member accepted or refused the connection; after a refusal the connection is closed. */
        void onOpened(MemberConnection connection, MemberAnswer answer);

        /** Handles an answer of the member. */
        void onAnswer(MemberConnection connection, MemberAnswer answer, long sentNanos);

        /** Handles that the connection was closed. */
        void onClosed(MemberConnection connection, String reason);

        /** Handles that an operation was refused because its lease had ended. */
        void onMisuse(MemberConnection connection, String operation);
    }

    MemberConnection(MemberServer server, String account, MonotonicClock clock, Owner owner) {
        super(Object.class);
        this.server = server;
        this.account = account;
        this.clock = clock;
        this.owner = owner;
    }

    /** Returns the member. */
    public MemberServer server() {
        return server;
    }

    /** Returns the client account for which it was opened. */
    public String account() {
        return account;
    }

    /** Returns whether it accepts commands. */
    public boolean isUsable() {
        return open && !closed;
    }

    /** Returns whether it is leased for a statement or transaction. */
    public boolean isLeased() {
        return currentLease != null;
    }

    /** Returns whether the member has not answered all commands yet, or the connection is being opened. */
    boolean isBusy() {
        return !closed && (!open || !pendingCommands.isEmpty());
    }

    /** Sets whether it is used by another daemon. */
    void lent(boolean value) {
        lent = value;
    }

    boolean isLent() {
        return lent;
    }

    boolean isIdle() {
        return open && !closed && currentLease == null && pendingCommands.isEmpty();
    }

    boolean isBeyondShare() {
        return beyondShare;
    }

    void beyondShare(boolean value) {
        beyondShare = value;
    }

    /**
     * Leases the connection, which must not be leased already.
     *
     * @param reliesOnPrimary whether the work relies on the member being the primary
     */
    ConnectionLease lease(boolean reliesOnPrimary) {
        Preconditions.checkState(currentLease == null, "the connection is leased already");
        ConnectionLease lease = new ConnectionLease(this, reliesOnPrimary);
        currentLease = lease;
        lastLeasedNanos = clock.nowNanos();
        consecutiveLeases++;
        return lease;
    }

    /** Sets whether more of the member's answer is read now; the member is not asked to send it otherwise. */
    void reading(boolean value) {
        MemberTransport active = transport;
        if (active != null) {
            active.reading(value);
        }
    }

    /** Uses a connection that a home of the member keeps. It is open at once, and closed after its first lease. */
    void useHome(MemberTransport home) {
        transport = home;
        atHome = true;
        open = true;
    }

    /** Returns whether the member is reached through a home. */
    boolean isAtHome() {
        return atHome;
    }

    /** Returns how long the member took to answer the last command, given how long the answer took to arrive here. */
    long memberLatencyNanos(long elapsedNanos) {
        MemberTransport active = transport;
        return active == null ? elapsedNanos : active.memberLatencyNanos(elapsedNanos);
    }

    boolean isLeasedBy(ConnectionLease lease) {
        return currentLease == lease;
    }

    /** Returns whether work is in progress that relies on the member being the primary. */
    boolean reliesOnPrimary() {
        ConnectionLease lease = currentLease;
        return lease != null && lease.reliesOnPrimary();
    }

    void reportMisuse(String operation) {
        owner.onMisuse(this, operation);
    }

    long nowNanos() {
        return clock.nowNanos();
    }

    /** Returns when it was last leased. */
    long lastLeasedNanos() {
        return lastLeasedNanos;
    }

    /** Returns whether it may be leased for the same account again before other accounts are served. */
    boolean mayServeSameAccountAgain() {
        boolean may = consecutiveLeases < MAXIMUM_CONSECUTIVE_LEASES;
        if (!may) {
            consecutiveLeases = 0;
        }
        return may;
    }

    /** Ends a lease; returns false, and logs a fault, if it has ended before. */
    boolean endLease(ConnectionLease lease) {
        if (!lease.checkCurrent("end lease")) {
            return false;
        }
        currentLease = null;
        reading(true);
        return true;
    }

    /**
     * Sends a command. Call {@link #flush()} after the last one.
     *
     * @param command the command
     * @param listener handles the answer
     */
    public void send(MemberCommand command, AnswerListener listener) {
        MemberTransport active = transport;
        long now = clock.nowNanos();
        if (active == null || closed) {
            listener.onAnswer(null, now);
        } else if (mustWait(command)) {
            waitingCommands.add(new WaitingCommand(command, listener));
        } else {
            write(active, command, listener);
        }
    }

    /**
     * Returns whether a command has to wait for the answers to changes of the session state. BEGIN need not, as the
     * statement behind it is sent only after its answer. A home waits itself.
     */
    private boolean mustWait(MemberCommand command) {
        return !atHome
                && (!waitingCommands.isEmpty()
                        || (unconfirmedStateCommands > 0 && command instanceof MemberCommand.PassOn));
    }

    private void write(MemberTransport active, MemberCommand command, AnswerListener listener) {
        pendingCommands.add(new PendingCommand(clock.nowNanos(), listener));
        active.write(command);
    }

    private void sendWaiting() {
        MemberTransport active = transport;
        while (active != null && !closed && !waitingCommands.isEmpty()) {
            WaitingCommand waiting = waitingCommands.remove();
            write(active, waiting.command(), waiting.listener());
        }
        flush();
    }

    /** Writes the commands sent so far to the network. */
    public void flush() {
        MemberTransport active = transport;
        if (active != null && !closed) {
            active.flush();
        }
    }

    /** Returns whether a statement of a session could be sent without a change of the session state. */
    boolean hasSessionState(Map<String, String> variables, @Nullable PreparedShape preparedStatement) {
        return sessionVariables.equals(variables)
                && (preparedStatement == null || preparedNames.containsKey(preparedStatement));
    }

    /** Returns whether the member has not confirmed a change of the session state yet. */
    boolean awaitsStateAnswer() {
        return unconfirmedStateCommands > 0;
    }

    /**
     * Sets the variables of a session on the connection, with as few commands as possible.
     *
     * @param variables the variables of the session
     */
    public void applySessionVariables(Map<String, String> variables) {
        if (!variables.keySet().containsAll(sessionVariables.keySet())) {
            discardSessionState();
        }
        for (Map.Entry<String, String> variable : variables.entrySet()) {
            if (!variable.getValue().equals(sessionVariables.get(variable.getKey()))) {
                sessionVariables.put(variable.getKey(), variable.getValue());
                sendStateCommand(new MemberCommand.Own(
                        new SessionStatement.SetValue(variable.getKey(), variable.getValue()), null));
            }
        }
    }

    /**
     * Prepares a statement if it is not prepared on the connection yet. The connection assigns the names itself, so
     * that the names of several sessions cannot collide.
     *
     * @param shape the statement
     * @return its name on this connection
     */
    public String prepare(PreparedShape shape) {
        String known = preparedNames.get(shape);
        if (known != null) {
            return known;
        }
        String name = "p" + preparedNames.size();
        preparedNames.put(shape, name);
        sendStateCommand(new MemberCommand.Own(new SessionStatement.Prepare(name, shape), null));
        return name;
    }

    /**
     * Discards the session state if too many statements are prepared; call before a statement, outside a transaction.
     */
    public void discardExcessStatements() {
        if (preparedNames.size() >= MAXIMUM_PREPARED_STATEMENTS) {
            discardSessionState();
        }
    }

    /**
     * Closes the connection; the listeners of pending commands receive null.
     *
     * @param reason the reason, for the log
     */
    public void close(String reason) {
        if (closed) {
            return;
        }
        MemberTransport active = transport;
        boolean abandonsCommands = !pendingCommands.isEmpty();
        handleClose(reason);
        if (active != null) {
            active.close(abandonsCommands);
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        transport = new ChannelTransport(context.channel());
        if (closed) {
            context.close();
            return;
        }
        send(new MemberCommand.Open(server.entry().group(), account, server.name()), this::onOpenAnswer);
        flush();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Object message) {
        PendingCommand oldest = pendingCommands.peek();
        if (oldest == null) {
            close("the member sent an answer without a pending command");
        } else if (message instanceof MemberRows part) {
            if (!oldest.listener().onRows(part.rows())) {
                close("the member sent more rows than expected");
            }
        } else if (message instanceof MemberAnswer answer) {
            onAnswer(answer);
        }
    }

    @Override
    public void onAnswer(MemberAnswer answer) {
        PendingCommand oldest = pendingCommands.poll();
        if (oldest != null) {
            complete(oldest, answer);
        }
    }

    @Override
    public void onLost(String reason) {
        handleClose(reason);
    }

    private void complete(PendingCommand oldest, MemberAnswer answer) {
        owner.onAnswer(this, answer, oldest.sentNanos());
        oldest.listener().onAnswer(answer, oldest.sentNanos());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        handleClose("closed by the member");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        handleClose(cause.toString());
        context.close();
    }

    /** Connects to the member; the owner is notified when the connection is open or closed. */
    void connect(GroupContext context, int timeoutMillis) {
        context.connector().connect(server.entry().address(), timeoutMillis, this, this::handleClose);
    }

    private void onOpenAnswer(@Nullable MemberAnswer answer, long sentNanos) {
        if (answer == null) {
            return;
        }
        open = answer.error() == null && answer.state() == TransactionState.IDLE;
        owner.onOpened(this, answer);
        if (!open) {
            close("refused: " + answer.error());
        }
    }

    private void discardSessionState() {
        sessionVariables.clear();
        preparedNames.clear();
        sendStateCommand(new MemberCommand.Discard());
    }

    /** Sends a change of the session state at once, also while commands wait, since they may rely on it. */
    private void sendStateCommand(MemberCommand command) {
        MemberTransport active = transport;
        if (active != null && !closed) {
            unconfirmedStateCommands++;
            write(active, command, this::onStateAnswer);
        }
    }

    private void onStateAnswer(@Nullable MemberAnswer answer, long sentNanos) {
        unconfirmedStateCommands--;
        if (answer == null) {
            return;
        }
        if (answer.error() != null) {
            close("session state refused: " + answer.error() + " " + answer.detail());
        } else if (unconfirmedStateCommands == 0) {
            sendWaiting();
        }
    }

    private void handleClose(String reason) {
        if (closed) {
            return;
        }
        closed = true;
        owner.onClosed(this, reason);
        long now = clock.nowNanos();
        while (!pendingCommands.isEmpty()) {
            Objects.requireNonNull(pendingCommands.poll()).listener().onAnswer(null, now);
        }
        while (!waitingCommands.isEmpty()) {
            waitingCommands.remove().listener().onAnswer(notSent(reason), now);
        }
    }

    /** Returns the answer to a command that never reached the member. */
    private static MemberAnswer notSent(String reason) {
        return new MemberAnswer(
                List.of(), null, SessionError.OVERLOADED, "not sent: " + reason, TransactionState.IDLE, null);
    }
}
