package org.banyanhook.gateway.home;

import io.netty.buffer.ByteBufUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.banyanhook.gateway.backend.ConnectionLease;
import org.banyanhook.gateway.backend.ConnectionRequest;
import org.banyanhook.gateway.backend.ConnectionRequestListener;
import org.banyanhook.gateway.backend.DatabaseGroup;
import org.banyanhook.gateway.backend.MemberConnection;
import org.banyanhook.gateway.backend.Placement;
import org.banyanhook.gateway.message.MemberAnswer;
import org.banyanhook.gateway.message.MemberCommand;
import org.banyanhook.gateway.message.SessionError;
import org.banyanhook.gateway.message.SessionStatement.PreparedShape;
import org.banyanhook.gateway.message.TransactionState;
import org.banyanhook.protocol.generated.HomeAnswer;
import org.banyanhook.protocol.generated.HomeAnswers;
import org.banyanhook.protocol.generated.HomeCommand;
import org.banyanhook.protocol.generated.HomeCommands;
import org.jspecify.annotations.Nullable;

/**
 * The use of a connection of this daemon by another daemon, for a statement or a transaction. Confined to the event
 * loop.
 */
final class HomeLease implements ConnectionRequestListener {

    /** Larger answers to reads are not collected here; the sender runs the read on a connection of its own. */
    private static final int MAXIMUM_READ_BYTES = 512 << 10;

    /** Answers of transactions and writes cannot be repeated; the peer links carry messages of up to 8 MB. */
    private static final int MAXIMUM_BYTES = 6 << 20;

    /** The tag and the length of a row in the message. */
    private static final int ROW_OVERHEAD_BYTES = 6;

    private final HomeLeases.Context context;
    private final DatabaseGroup group;
    private final HomeCommands terms;
    private final Runnable onEnd;
    private final ConnectionRequest request;
    private final long requestedNanos;
    private final List<HomeAnswer> answers = new ArrayList<>();
    private final List<String> rows = new ArrayList<>();
    private HomeCommands current;
    private CompletableFuture<HomeAnswers> reply;
    private @Nullable ConnectionLease lease;
    private @Nullable ScheduledFuture<?> expiry;
    private int unanswered;
    private int answerBytes;
    private boolean tooLarge;
    private long memberNanos;
    private long lastActivityNanos;
    private boolean senderListed;
    private boolean ended;

    /**
     * Creates a lease; {@link #acquire} requests the connection.
     *
     * @param context what all leases share
     * @param group the database group
     * @param terms the first commands
     * @param deadlineNanos until when they may be sent to the member
     * @param reply receives the answers
     * @param onEnd called when the lease has ended
     */
    HomeLease(
            HomeLeases.Context context,
            DatabaseGroup group,
            HomeCommands terms,
            long deadlineNanos,
            CompletableFuture<HomeAnswers> reply,
            Runnable onEnd) {
        this.context = context;
        this.group = group;
        this.terms = terms;
        this.current = terms;
        this.reply = reply;
        this.onEnd = onEnd;
        long now = context.clock().nowNanos();
        this.lastActivityNanos = now;
        this.requestedNanos = now;
        this.request = new ConnectionRequest(
                terms.getClientAccount(),
                Math.max(1, terms.getWeight()),
                ConnectionRequest.Requirements.at(terms.getMember(), terms.getPrimary()),
                now,
                deadlineNanos,
                this);
        request.objective(terms.getPriority(), TimeUnit.MILLISECONDS.toNanos(terms.getTargetLatencyMillis()));
        request.avoidHomes();
        request.sessionState(terms.getSessionValuesMap(), preparedStatement(terms));
    }

    private static @Nullable PreparedShape preparedStatement(HomeCommands commands) {
        return commands.getCommandsList().stream()
                .filter(command -> !command.getPreparedText().isEmpty())
                .findFirst()
                .map(HomeMessages::preparedShape)
                .orElse(null);
    }

    /** Requests the connection, and refuses the commands if there is none in time. */
    void acquire() {
        expiry = context.eventLoop()
                .schedule(
                        () -> refuse("no connection was available in time"),
                        request.deadlineNanos() - context.clock().nowNanos(),
                        TimeUnit.NANOSECONDS);
        group.submit(request);
    }

    /** Runs commands in the open transaction; nothing else of it may be in progress. */
    void run(HomeCommands commands, CompletableFuture<HomeAnswers> newReply) {
        ConnectionLease held = lease;
        lastActivityNanos = context.clock().nowNanos();
        if (held == null || !held.isUsable() || unanswered > 0) {
            newReply.complete(context.aborted(commands, "the connection to the member closed before this statement"));
            end("commands arrived out of order");
            return;
        }
        if (terms.getPrimary() && !context.primaryAccess().mayUsePrimary(group.name())) {
            newReply.complete(context.aborted(commands, "a replacement of the primary might not be detected"));
            end("a replacement of the primary might not be detected");
            return;
        }
        current = commands;
        reply = newReply;
        send(held);
    }

    @Override
    public void onConnectionLeased(ConnectionLease leased, Placement placement) {
        cancelExpiry();
        if (ended) {
            group.release(leased);
            return;
        }
        // The timer of the deadline runs after the answer of the member if both are due when a frozen process goes on.
        boolean late = context.clock().nowNanos() - request.deadlineNanos() >= 0;
        if (late || context.clock().jumpedSince(requestedNanos)) {
            refuse("no connection was available in time");
            group.release(leased);
            return;
        }
        lease = leased;
        lastActivityNanos = context.clock().nowNanos();
        leased.discardExcessStatements();
        send(leased);
    }

    @Override
    public void onRefused(SessionError error, String detail) {
        refuse(detail);
    }

    private void send(ConnectionLease held) {
        answers.clear();
        answerBytes = 0;
        unanswered = current.getCommandsCount();
        held.applySessionVariables(current.getSessionValuesMap());
        for (HomeCommand message : current.getCommandsList()) {
            String preparedName =
                    message.getPreparedText().isEmpty() ? "" : held.prepare(HomeMessages.preparedShape(message));
            MemberCommand command = HomeMessages.toCommand(message, preparedName);
            held.send(command, new MemberConnection.AnswerListener() {
                @Override
                public void onAnswer(@Nullable MemberAnswer answer, long sentNanos) {
                    HomeLease.this.onAnswer(held, answer, sentNanos);
                }

                @Override
                public boolean onRows(List<String> rows) {
                    return collect(rows);
                }
            });
        }
        held.flush();
    }

    private boolean collect(List<String> added) {
        rows.addAll(added);
        for (String row : added) {
            answerBytes += ByteBufUtil.utf8Bytes(row) + ROW_OVERHEAD_BYTES;
        }
        tooLarge = answerBytes > (isRepeatableRead() ? MAXIMUM_READ_BYTES : MAXIMUM_BYTES);
        return !tooLarge;
    }

    /** Returns whether the commands in progress are a read outside a transaction, which may run again. */
    private boolean isRepeatableRead() {
        return terms == current && current.getCommandsList().stream().noneMatch(HomeMessages::writes);
    }

    private void onAnswer(ConnectionLease source, @Nullable MemberAnswer received, long sentNanos) {
        if (ended) {
            settle(source, received);
            return;
        }
        if (received == null) {
            unanswered = 0;
            lease = null;
            finish();
            return;
        }
        unanswered--;
        memberNanos = context.clock().nowNanos() - sentNanos;
        judge(source, received);
        List<String> allRows = new ArrayList<>(rows);
        rows.clear();
        allRows.addAll(received.rows());
        answers.add(HomeMessages.toMessage(new MemberAnswer(
                allRows,
                received.signature(),
                received.error(),
                received.detail(),
                received.state(),
                received.position())));
        if (unanswered > 0) {
            return;
        }
        if (received.state() == TransactionState.IDLE) {
            lease = null;
            finish();
            settle(source, received);
        } else {
            respond();
        }
    }

    /** Records what an answer tells of the member; its speed is recorded by the other daemon. */
    private void judge(ConnectionLease source, MemberAnswer answer) {
        if (answer.error() == SessionError.NOT_PRIMARY) {
            group.onNotPrimary(source.server());
        } else if (answer.error() == SessionError.REPLICA_BEHIND) {
            group.onReplicaLagging(source.server());
        }
    }

    private void settle(ConnectionLease source, @Nullable MemberAnswer answer) {
        if (answer == null || !source.isUsable()) {
            return;
        }
        if (answer.error() == SessionError.PREPARED_UNKNOWN) {
            source.close("member does not have the prepared statement");
        } else if (answer.state() == TransactionState.IDLE) {
            group.release(source);
        } else {
            group.rollBack(source);
        }
    }

    private void respond() {
        HomeAnswers.Builder message =
                context.newAnswers().addAllAnswers(answers).setMemberMicros(TimeUnit.NANOSECONDS.toMicros(memberNanos));
        if (tooLarge && answers.isEmpty() && isRepeatableRead()) {
            message.setRefused(true)
                    .setTooLarge(true)
                    .setDetail("the answer is too large to be passed on; the read is run again");
        }
        context.metrics().count("home.statements", "result", message.getRefused() ? "too-large" : "answered");
        lastActivityNanos = context.clock().nowNanos();
        reply.complete(message.build());
    }

    /** Answers and ends. */
    private void finish() {
        markEnded();
        respond();
    }

    private void refuse(String detail) {
        if (ended || lease != null) {
            return;
        }
        markEnded();
        request.cancel();
        context.metrics().count("home.statements", "result", "refused");
        reply.complete(context.refused(detail));
    }

    /** Refuses the commands if they wait for a member that cannot be used any more. */
    void refuseIfUnusable() {
        String reason = context.unusable(group, terms);
        if (!reason.isEmpty()) {
            refuse(reason);
        }
    }

    /**
     * Ends the lease: withdraws commands that wait for a connection, closes a connection with commands that have no
     * answer, and rolls back a transaction that is open.
     */
    void end(String reason) {
        if (ended) {
            return;
        }
        ConnectionLease held = lease;
        if (held == null) {
            refuse(reason);
            return;
        }
        markEnded();
        lease = null;
        if (!held.isUsable()) {
            return;
        }
        if (unanswered > 0) {
            held.close(reason);
            reply.complete(context.newAnswers().addAllAnswers(answers).build());
        } else {
            group.rollBack(held);
        }
    }

    /** Returns how long ago commands were sent or answered, in nanoseconds; 0 while they wait for a connection. */
    long silentNanos(long nowNanos) {
        return lease == null ? 0 : nowNanos - lastActivityNanos;
    }

    /**
     * Records whether the entry of the other daemon is listed, and returns whether it has ended since the lease began.
     * The entry of a daemon that has just started may arrive after its first commands.
     */
    boolean recordSender(boolean listed) {
        senderListed |= listed;
        return senderListed && !listed;
    }

    /** Returns whether the member has not answered all commands yet. */
    boolean isUnanswered() {
        return unanswered > 0;
    }

    private void markEnded() {
        ended = true;
        cancelExpiry();
        onEnd.run();
    }

    private void cancelExpiry() {
        ScheduledFuture<?> scheduled = expiry;
        if (scheduled != null) {
            scheduled.cancel(false);
        }
    }
}
