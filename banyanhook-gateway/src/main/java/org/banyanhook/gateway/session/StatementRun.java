package org.banyanhook.gateway.session;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.configuration.DatabaseRoute;
import org.banyanhook.core.configuration.ReadFreshness;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.gateway.backend.ConnectionRequest;
import org.banyanhook.gateway.backend.ConnectionRequestListener;
import org.banyanhook.gateway.backend.DatabaseGroup;
import org.banyanhook.gateway.backend.MemberConnection;
import org.banyanhook.gateway.backend.Placement;
import org.banyanhook.gateway.message.ClientRequest;
import org.banyanhook.gateway.message.MemberAnswer;
import org.banyanhook.gateway.message.MemberCommand;
import org.banyanhook.gateway.message.SessionError;
import org.banyanhook.gateway.message.SessionStatement;
import org.banyanhook.gateway.message.SessionStatement.PreparedShape;
import org.banyanhook.gateway.message.TransactionState;
import org.jspecify.annotations.Nullable;

/**
 * Runs one read, write, execution or commit of a session at a member, retries it while it certainly did not run or only
 * reads, and gives its answer exactly once. Used on the event loop only.
 */
final class StatementRun implements ConnectionRequestListener {

    /** More attempts than members of a usual group help no more. */
    private static final int MAXIMUM_ATTEMPTS = 5;

    /** The pause before a primary that had no room is asked again, in milliseconds. */
    private static final long ROOM_RETRY_MILLIS = 40;

    /** A member that answered nothing at all for this long while a statement timed out counts as not reached. */
    private static final long SILENT_MEMBER_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    private final SessionContext context;
    private final ClientRequest.Run request;
    private final DatabaseRoute route;
    private final DatabaseGroup group;
    private final String account;
    private final int weight;
    private final @Nullable OpenTransaction transaction;
    private final Map<String, String> values;
    private final @Nullable PreparedShape shape;
    private final @Nullable LogPosition sessionFloor;
    private final Listener listener;
    private final long arrivedNanos;
    private final long deadlineNanos;
    private @Nullable ConnectionRequest work;
    private @Nullable MemberConnection connection;
    private @Nullable Placement placement;
    private @Nullable ScheduledFuture<?> timer;
    private int attempts;
    private boolean sent;
    private boolean finished;
    private String failedMember = "";
    private final Set<String> membersBehind = new HashSet<>();

    /** Takes the outcome of the run. Exactly one method is called, once. */
    interface Listener {
        /**
         * Handles a success.
         *
         * @param answer the member's answer
         */
        void onSuccess(MemberAnswer answer);

        /**
         * Handles a failure.
         *
         * @param error what to tell the caller
         * @param detail more about it
         */
        void onFailure(SessionError error, String detail);
    }

    /**
     * What a run works on.
     *
     * @param request the caller's request
     * @param route the route of its database
     * @param account the client account
     * @param weight the account's share of the queues
     * @param transaction the transaction that it belongs to, or null
     * @param values the values of the session
     * @param shape the prepared statement that it executes, or null
     * @param sessionFloor the place that the session must see, or null
     */
    record Task(
            ClientRequest.Run request,
            DatabaseRoute route,
            String account,
            int weight,
            @Nullable OpenTransaction transaction,
            Map<String, String> values,
            @Nullable PreparedShape shape,
            @Nullable LogPosition sessionFloor) {}

    StatementRun(SessionContext context, Task task, long arrivedNanos, Listener listener) {
        this.context = context;
        this.request = task.request();
        this.route = task.route();
        this.group = context.groups().group(task.route().group());
        this.account = task.account();
        this.weight = task.weight();
        this.transaction = task.transaction();
        this.values = task.values();
        this.shape = task.shape();
        this.sessionFloor = task.sessionFloor();
        this.arrivedNanos = arrivedNanos;
        this.deadlineNanos = arrivedNanos + TimeUnit.MILLISECONDS.toNanos(route.statementTimeoutMillis());
        this.listener = listener;
    }

    void start() {
        long left = deadlineNanos - context.clock().nowNanos();
        timer = context.eventLoop().schedule(this::onDeadline, left, TimeUnit.NANOSECONDS);
        MemberConnection pinned = transaction == null ? null : transaction.connection();
        if (pinned == null) {
            place();
        } else if (isPrimaryOnly() && !context.contact().mayUsePrimary(group.name())) {
            pinned.close("a replaced primary could go unnoticed");
            Objects.requireNonNull(transaction).connection(null);
            fail(SessionError.TRANSACTION_ABORTED, "a replaced primary could go unnoticed here; begin again");
        } else {
            connection = pinned;
            sendStatement(pinned, null);
        }
    }

    /** The caller is gone: nobody takes the answer, but what was sent is brought to its end. */
    void abandon() {
        if (sent) {
            return;
        }
        finish("abandoned", null);
        cancelWork();
        if (transaction != null && connection != null) {
            // The answer to the begin is still to come; the connection is given back then.
            transaction.connection(null);
        }
    }

    boolean isFinished() {
        return finished;
    }

    @Override
    public void onConnectionLeased(MemberConnection placed, Placement chosen) {
        connection = placed;
        placement = chosen;
        attempts++;
        LogPosition floor = chosen.minimumPosition() == null
                ? null
                : chosen.minimumPosition().position();
        if (transaction == null) {
            placed.discardExcessStatements();
            sendStatement(placed, floor);
            return;
        }
        placed.discardExcessStatements();
        transaction.connection(placed);
        placed.applySessionVariables(values);
        placed.send(
                new MemberCommand.Own(new SessionStatement.Begin(transaction.readOnly()), floor),
                (answer, sentNanos) -> onBegun(placed, answer));
        placed.flush();
    }

    @Override
    public void onRefused(SessionError error, String detail) {
        fail(error, detail);
    }

    private void place() {
        if (finished) {
            return;
        }
        boolean primaryOnly = isPrimaryOnly();
        if (primaryOnly && !context.contact().mayUsePrimary(group.name())) {
            fail(SessionError.OVERLOADED, "a replaced primary could go unnoticed here; retry on a new connection");
            return;
        }
        Set<String> regions = HomeRegions.allowedByBoth(
                route.homeRegions(), context.directory().configuration().regionsOf(account));
        ConnectionRequest.Requirements demand = new ConnectionRequest.Requirements(
                primaryOnly, TimeUnit.MILLISECONDS.toNanos(route.maximumAgeMillis()), sessionFloor, regions);
        ConnectionRequest placing = new ConnectionRequest(account, weight, demand, arrivedNanos, deadlineNanos, this);
        membersBehind.forEach(placing::exclude);
        if (!failedMember.isEmpty()) {
            placing.exclude(failedMember);
        }
        work = placing;
        connection = null;
        sent = false;
        group.submit(placing);
    }

    private boolean isPrimaryOnly() {
        if (route.freshness() == ReadFreshness.CURRENT) {
            return true;
        }
        return transaction == null ? writes() : !transaction.readOnly();
    }

    private boolean writes() {
        return request.statement() instanceof SessionStatement.Write || (shape != null && shape.writes());
    }

    private boolean commits() {
        return request.statement() instanceof SessionStatement.Commit;
    }

    private void onBegun(MemberConnection placed, @Nullable MemberAnswer answer) {
        if (finished) {
            giveBackTransaction(placed);
        } else if (answer == null) {
            Objects.requireNonNull(transaction).connection(null);
            retryElsewhere(placed, "the connection ended at the begin of the transaction");
        } else if (answer.error() != null) {
            Objects.requireNonNull(transaction).connection(null);
            giveBack(placed, answer);
            afterNotRun(placed, answer.error(), answer.detail());
        } else {
            sendStatement(placed, null);
        }
    }

    private void sendStatement(MemberConnection target, @Nullable LogPosition floor) {
        target.applySessionVariables(values);
        SessionStatement statement = request.statement();
        if (statement instanceof SessionStatement.Execute execute && shape != null) {
            statement = new SessionStatement.Execute(target.prepare(shape), execute.arguments());
        }
        if (transaction != null && writes()) {
            transaction.noteWrite();
        }
        sent = true;
        target.send(
                new MemberCommand.PassOn(request.requestId(), statement, floor),
                (answer, sentNanos) -> onAnswer(target, answer, sentNanos));
        target.flush();
    }

    private void onAnswer(MemberConnection from, @Nullable MemberAnswer answer, long sentNanos) {
        if (answer != null) {
            group.recordLatency(from.server(), context.clock().nowNanos() - sentNanos);
        }
        if (finished) {
            if (answer != null && transaction == null) {
                giveBack(from, answer);
            }
        } else if (answer == null) {
            onLost(from);
        } else if (answer.error() != null) {
            onError(from, answer, answer.error());
        } else if (answer.signature() == null) {
            from.close("success without a signature");
            onLost(from);
        } else {
            succeed(from, answer);
        }
    }

    private void succeed(MemberConnection from, MemberAnswer answer) {
        boolean ended = transaction == null || commits();
        if (ended) {
            giveBack(from, answer);
        } else if (answer.state() != TransactionState.OPEN) {
            from.close("transaction ended by the member");
        }
        finish("success", from);
        listener.onSuccess(answer);
    }

    private void onError(MemberConnection from, MemberAnswer answer, SessionError error) {
        if (transaction == null) {
            if (error == SessionError.PREPARED_UNKNOWN) {
                from.close("the member does not know a prepared name");
            } else {
                giveBack(from, answer);
            }
            afterNotRun(from, error, answer.detail());
            return;
        }
        boolean first = placement != null && !commits();
        transaction.connection(null);
        if (commits()) {
            giveBack(from, answer);
        } else {
            rollBack(from);
        }
        if (first && error.notRun()) {
            afterNotRun(from, error, answer.detail());
        } else {
            fail(error, answer.detail());
        }
    }

    /** Goes on after an attempt that did not run, or ran and failed. */
    private void afterNotRun(MemberConnection from, SessionError error, String detail) {
        if (attempts >= MAXIMUM_ATTEMPTS || !error.notRun()) {
            fail(error, detail);
            return;
        }
        connection = null;
        sent = false;
        switch (error) {
            case REPLICA_BEHIND -> {
                group.onReplicaLagging(from.server());
                membersBehind.add(from.server().name());
                retryElsewhere(from, detail);
            }
            case NOT_PRIMARY -> {
                group.onNotPrimary(from.server());
                place();
            }
            case OVERLOADED -> {
                if (isPrimaryOnly()) {
                    var unused = context.eventLoop().schedule(this::place, ROOM_RETRY_MILLIS, TimeUnit.MILLISECONDS);
                } else {
                    retryElsewhere(from, detail);
                }
            }
            case PREPARED_UNKNOWN -> place();
            default -> fail(error, detail);
        }
    }

    private void onLost(MemberConnection from) {
        if (transaction != null) {
            fail(leaveTransaction(transaction), "the connection to the member ended");
        } else if (writes()) {
            fail(SessionError.OUTCOME_UNKNOWN, "the connection to the member ended before its answer");
        } else {
            retryElsewhere(from, "the connection to the member ended");
        }
    }

    private void retryElsewhere(MemberConnection from, String reason) {
        if (attempts >= MAXIMUM_ATTEMPTS) {
            fail(SessionError.OVERLOADED, "no member could run it: " + reason);
            return;
        }
        if (!isPrimaryOnly()) {
            failedMember = from.server().name();
        }
        place();
    }

    private void onDeadline() {
        if (finished) {
            return;
        }
        MemberConnection running = connection;
        if (running == null || !sent) {
            cancelWork();
            if (running != null) {
                running.close("transaction did not begin in time");
                if (transaction != null) {
                    transaction.connection(null);
                }
            }
            fail(SessionError.OVERLOADED, "not run within " + route.statementTimeoutMillis() + " ms; retry");
            return;
        }
        SessionError error = transaction == null ? SessionError.TIMED_OUT : leaveTransaction(transaction);
        fail(error, "no answer within " + route.statementTimeoutMillis() + " ms");
        running.close("statement timed out");
        if (running.server().nanosSinceLastAnswer(context.clock().nowNanos()) >= SILENT_MEMBER_NANOS) {
            group.onTimeout(running.server());
        }
    }

    /** Gives the connection of a transaction up without an answer; returns what that means for the caller. */
    private SessionError leaveTransaction(OpenTransaction left) {
        left.connection(null);
        boolean unknown = commits() && left.wrote();
        return unknown ? SessionError.OUTCOME_UNKNOWN : SessionError.TRANSACTION_ABORTED;
    }

    private void fail(SessionError error, String detail) {
        if (finished) {
            return;
        }
        finish(error.name(), connection);
        listener.onFailure(error, detail);
    }

    private void cancelWork() {
        ConnectionRequest waiting = work;
        if (waiting != null) {
            waiting.cancel();
        }
    }

    private void giveBack(MemberConnection from, MemberAnswer answer) {
        if (!from.isUsable()) {
            return;
        }
        if (answer.state() == TransactionState.IDLE) {
            group.release(from);
        } else {
            rollBack(from);
        }
    }

    private void giveBackTransaction(MemberConnection from) {
        if (from.isUsable()) {
            rollBack(from);
        }
    }

    private void rollBack(MemberConnection from) {
        Transactions.rollBack(from, group);
    }

    private void finish(String outcome, @Nullable MemberConnection at) {
        finished = true;
        ScheduledFuture<?> running = timer;
        if (running != null) {
            running.cancel(false);
        }
        context.metrics().count("statements", "outcome", outcome);
        long now = context.clock().nowNanos();
        context.metrics().latency("statement.latency", now - arrivedNanos);
        Placement chosen = placement;
        var line = context.log()
                .line("statement")
                .with("request", request.requestId())
                .with("account", account)
                .with("database", route.databaseName())
                .with("group", group.name())
                .with("statement", request.statement().getClass().getSimpleName())
                .with("version", context.directory().configuration().version())
                .with("member", at == null ? null : at.server().name())
                .with("term", group.highestTerm())
                .with("attempts", attempts)
                .with("outcome", outcome)
                .with("ms", TimeUnit.NANOSECONDS.toMillis(now - arrivedNanos));
        if (chosen != null) {
            line.with("primary", chosen.primary())
                    .with("access", chosen.access().name())
                    .with("candidates", chosen.candidates())
                    .with("queuedMs", TimeUnit.NANOSECONDS.toMillis(chosen.queuedNanos()));
            if (chosen.minimumPosition() != null) {
                line.with("floor", chosen.minimumPosition().position().toString())
                        .with(
                                "floorAgeMs",
                                TimeUnit.NANOSECONDS.toMillis(
                                        now - chosen.minimumPosition().provenNanos()));
            }
        }
        line.write();
    }
}
