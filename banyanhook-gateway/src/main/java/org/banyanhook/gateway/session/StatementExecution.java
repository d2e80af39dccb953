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
 * Runs one READ, WRITE, EXECUTE or COMMIT statement of a session on a member. A statement is retried only if it
 * certainly had no effect or only reads. The outcome is reported exactly once. Confined to the event loop.
 */
final class StatementExecution implements ConnectionRequestListener {

    /** A typical group has no more members than this, so that further attempts would not help. */
    private static final int MAXIMUM_ATTEMPTS = 5;

    /** The delay before a statement is retried on a primary that reported an overload. */
    private static final long PRIMARY_OVERLOAD_RETRY_DELAY_MILLIS = 40;

    /** When a statement times out, a member that has sent no answer for this long counts as unreachable. */
    private static final long UNRESPONSIVE_MEMBER_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    private final SessionContext context;
    private final ClientRequest.Run request;
    private final DatabaseRoute route;
    private final DatabaseGroup group;
    private final String account;
    private final int weight;
    private final @Nullable OpenTransaction transaction;
    private final Map<String, String> sessionValues;
    private final @Nullable PreparedShape preparedStatement;
    private final @Nullable LogPosition sessionPosition;
    private final Listener listener;
    private final long arrivedNanos;
    private final long deadlineNanos;
    private @Nullable ConnectionRequest pendingConnectionRequest;
    private @Nullable MemberConnection connection;
    private @Nullable Placement placement;
    private @Nullable ScheduledFuture<?> deadlineTimer;
    private int attempts;
    private boolean statementSent;
    private boolean finished;
    private String failedMember = "";
    private final Set<String> laggingMembers = new HashSet<>();

    /** Receives the outcome of the execution. Exactly one method is called, exactly once. */
    interface Listener {
        /**
         * Handles success.
         *
         * @param answer the answer of the member
         */
        void onSuccess(MemberAnswer answer);

        /**
         * Handles failure.
         *
         * @param error the error to report to the caller
         * @param detail the explanation, with the remedy where there is one
         */
        void onFailure(SessionError error, String detail);
    }

    /**
     * The statement to run and the session state that it depends on.
     *
     * @param request the request of the caller
     * @param route the route of the database
     * @param account the client account
     * @param weight the weight of the account in the queues
     * @param transaction the transaction that the statement belongs to, or null
     * @param sessionValues the values that the caller has set in the session
     * @param preparedStatement the prepared statement that is executed, or null
     * @param sessionPosition the log position that reads of the session must include, or null
     */
    record Task(
            ClientRequest.Run request,
            DatabaseRoute route,
            String account,
            int weight,
            @Nullable OpenTransaction transaction,
            Map<String, String> sessionValues,
            @Nullable PreparedShape preparedStatement,
            @Nullable LogPosition sessionPosition) {}

    StatementExecution(SessionContext context, Task task, long arrivedNanos, Listener listener) {
        this.context = context;
        this.request = task.request();
        this.route = task.route();
        this.group = context.groups().group(task.route().group());
        this.account = task.account();
        this.weight = task.weight();
        this.transaction = task.transaction();
        this.sessionValues = task.sessionValues();
        this.preparedStatement = task.preparedStatement();
        this.sessionPosition = task.sessionPosition();
        this.arrivedNanos = arrivedNanos;
        this.deadlineNanos = arrivedNanos + TimeUnit.MILLISECONDS.toNanos(route.statementTimeoutMillis());
        this.listener = listener;
    }

    void start() {
        long remainingNanos = deadlineNanos - context.clock().nowNanos();
        deadlineTimer = context.eventLoop().schedule(this::onDeadline, remainingNanos, TimeUnit.NANOSECONDS);
        MemberConnection transactionConnection = transaction == null ? null : transaction.connection();
        if (transactionConnection == null) {
            requestConnection();
        } else if (requiresPrimary() && !context.primaryAccess().mayUsePrimary(group.name())) {
            transactionConnection.close("a replacement of the primary might not be detected");
            Objects.requireNonNull(transaction).connection(null);
            fail(
                    SessionError.TRANSACTION_ABORTED,
                    "a replacement of the primary might not be detected here; begin a new transaction");
        } else {
            connection = transactionConnection;
            sendStatement(transactionConnection, null);
        }
    }

    /**
     * Abandons the execution because the caller has disconnected. A statement that was already sent runs to completion;
     * its answer is not delivered.
     */
    void abandon() {
        if (statementSent) {
            return;
        }
        finish("abandoned", null, null);
        cancelConnectionRequest();
        if (transaction != null && connection != null) {
            // The answer to BEGIN is still outstanding; the connection is released when it arrives.
            transaction.connection(null);
        }
    }

    boolean isFinished() {
        return finished;
    }

    @Override
    public void onConnectionLeased(MemberConnection memberConnection, Placement newPlacement) {
        connection = memberConnection;
        placement = newPlacement;
        attempts++;
        LogPosition minimumPosition = newPlacement.minimumPosition() == null
                ? null
                : newPlacement.minimumPosition().position();
        if (transaction == null) {
            memberConnection.discardExcessStatements();
            sendStatement(memberConnection, minimumPosition);
            return;
        }
        memberConnection.discardExcessStatements();
        transaction.connection(memberConnection);
        memberConnection.applySessionVariables(sessionValues);
        memberConnection.send(
                new MemberCommand.Own(new SessionStatement.Begin(transaction.readOnly()), minimumPosition),
                (answer, sentNanos) -> onBeginAnswer(memberConnection, answer));
        memberConnection.flush();
    }

    @Override
    public void onRefused(SessionError error, String detail) {
        fail(error, detail);
    }

    private void requestConnection() {
        if (finished) {
            return;
        }
        boolean requiresPrimary = requiresPrimary();
        if (requiresPrimary && !context.primaryAccess().mayUsePrimary(group.name())) {
            fail(
                    SessionError.OVERLOADED,
                    "a replacement of the primary might not be detected here; retry on a new connection");
            return;
        }
        Set<String> allowedRegions = HomeRegions.intersect(
                route.homeRegions(), context.directory().configuration().regionsOf(account));
        ConnectionRequest.Requirements requirements = new ConnectionRequest.Requirements(
                requiresPrimary,
                TimeUnit.MILLISECONDS.toNanos(route.maximumAgeMillis()),
                sessionPosition,
                allowedRegions);
        ConnectionRequest newRequest =
                new ConnectionRequest(account, weight, requirements, arrivedNanos, deadlineNanos, this);
        laggingMembers.forEach(newRequest::exclude);
        if (!failedMember.isEmpty()) {
            newRequest.exclude(failedMember);
        }
        pendingConnectionRequest = newRequest;
        connection = null;
        statementSent = false;
        group.submit(newRequest);
    }

    private boolean requiresPrimary() {
        if (route.freshness() == ReadFreshness.CURRENT) {
            return true;
        }
        return transaction == null ? isWrite() : !transaction.readOnly();
    }

    private boolean isWrite() {
        return request.statement() instanceof SessionStatement.Write
                || (preparedStatement != null && preparedStatement.writes());
    }

    private boolean isCommit() {
        return request.statement() instanceof SessionStatement.Commit;
    }

    private void onBeginAnswer(MemberConnection memberConnection, @Nullable MemberAnswer answer) {
        if (finished) {
            rollBackIfUsable(memberConnection);
        } else if (answer == null) {
            Objects.requireNonNull(transaction).connection(null);
            retryOnAnotherMember(memberConnection, "the connection closed before BEGIN was answered");
        } else if (answer.error() != null) {
            Objects.requireNonNull(transaction).connection(null);
            releaseConnection(memberConnection, answer);
            retryOrFail(memberConnection, answer.error(), answer.detail());
        } else {
            sendStatement(memberConnection, null);
        }
    }

    private void sendStatement(MemberConnection memberConnection, @Nullable LogPosition minimumPosition) {
        memberConnection.applySessionVariables(sessionValues);
        SessionStatement statement = request.statement();
        if (statement instanceof SessionStatement.Execute execute && preparedStatement != null) {
            statement = new SessionStatement.Execute(memberConnection.prepare(preparedStatement), execute.arguments());
        }
        if (transaction != null && isWrite()) {
            transaction.recordWrite();
        }
        statementSent = true;
        memberConnection.send(
                new MemberCommand.PassOn(request.requestId(), statement, minimumPosition),
                (answer, sentNanos) -> onAnswer(memberConnection, answer, sentNanos));
        memberConnection.flush();
    }

    private void onAnswer(MemberConnection memberConnection, @Nullable MemberAnswer answer, long sentNanos) {
        if (answer != null) {
            group.recordLatency(memberConnection.server(), context.clock().nowNanos() - sentNanos);
        }
        if (finished) {
            if (answer != null && transaction == null) {
                releaseConnection(memberConnection, answer);
            }
        } else if (answer == null) {
            onConnectionLost(memberConnection);
        } else if (answer.error() != null) {
            onError(memberConnection, answer, answer.error());
        } else if (answer.signature() == null) {
            memberConnection.close("member reported success without a signature");
            onConnectionLost(memberConnection);
        } else {
            succeed(memberConnection, answer);
        }
    }

    private void succeed(MemberConnection memberConnection, MemberAnswer answer) {
        boolean transactionEnded = transaction == null || isCommit();
        if (transactionEnded) {
            releaseConnection(memberConnection, answer);
        } else if (answer.state() != TransactionState.OPEN) {
            memberConnection.close("member ended the transaction");
        }
        finish("success", null, memberConnection);
        listener.onSuccess(answer);
    }

    private void onError(MemberConnection memberConnection, MemberAnswer answer, SessionError error) {
        if (transaction == null) {
            if (error == SessionError.PREPARED_UNKNOWN) {
                memberConnection.close("member does not have the prepared statement");
            } else {
                releaseConnection(memberConnection, answer);
            }
            retryOrFail(memberConnection, error, answer.detail());
            return;
        }
        boolean firstStatement = placement != null && !isCommit();
        transaction.connection(null);
        if (isCommit()) {
            releaseConnection(memberConnection, answer);
        } else {
            rollBack(memberConnection);
        }
        if (firstStatement && error.guaranteesNoEffect()) {
            retryOrFail(memberConnection, error, answer.detail());
        } else {
            fail(error, answer.detail());
        }
    }

    /** Retries the statement if the error guarantees that it had no effect and attempts are left; otherwise fails. */
    private void retryOrFail(MemberConnection memberConnection, SessionError error, String detail) {
        if (attempts >= MAXIMUM_ATTEMPTS || !error.guaranteesNoEffect()) {
            fail(error, detail);
            return;
        }
        connection = null;
        statementSent = false;
        switch (error) {
            case REPLICA_BEHIND -> {
                group.onReplicaLagging(memberConnection.server());
                laggingMembers.add(memberConnection.server().name());
                retryOnAnotherMember(memberConnection, detail);
            }
            case NOT_PRIMARY -> {
                group.onNotPrimary(memberConnection.server());
                requestConnection();
            }
            case OVERLOADED -> {
                if (requiresPrimary()) {
                    var unused = context.eventLoop()
                            .schedule(
                                    this::requestConnection,
                                    PRIMARY_OVERLOAD_RETRY_DELAY_MILLIS,
                                    TimeUnit.MILLISECONDS);
                } else {
                    retryOnAnotherMember(memberConnection, detail);
                }
            }
            case PREPARED_UNKNOWN -> requestConnection();
            default -> fail(error, detail);
        }
    }

    private void onConnectionLost(MemberConnection memberConnection) {
        if (transaction != null) {
            fail(abandonTransaction(transaction), "the connection to the member closed");
        } else if (isWrite()) {
            fail(SessionError.OUTCOME_UNKNOWN, "the connection to the member closed before it answered");
        } else {
            retryOnAnotherMember(memberConnection, "the connection to the member closed");
        }
    }

    private void retryOnAnotherMember(MemberConnection memberConnection, String reason) {
        if (attempts >= MAXIMUM_ATTEMPTS) {
            fail(SessionError.OVERLOADED, "no member could run the statement: " + reason);
            return;
        }
        if (!requiresPrimary()) {
            failedMember = memberConnection.server().name();
        }
        requestConnection();
    }

    private void onDeadline() {
        if (finished) {
            return;
        }
        MemberConnection memberConnection = connection;
        if (memberConnection == null || !statementSent) {
            cancelConnectionRequest();
            if (memberConnection != null) {
                memberConnection.close("BEGIN was not answered in time");
                if (transaction != null) {
                    transaction.connection(null);
                }
            }
            fail(
                    SessionError.OVERLOADED,
                    "the statement was not run within " + route.statementTimeoutMillis() + " ms; retry");
            return;
        }
        SessionError error = transaction == null ? SessionError.TIMED_OUT : abandonTransaction(transaction);
        fail(error, "the member did not answer within " + route.statementTimeoutMillis() + " ms");
        memberConnection.close("statement timed out");
        if (memberConnection.server().nanosSinceLastAnswer(context.clock().nowNanos()) >= UNRESPONSIVE_MEMBER_NANOS) {
            group.onTimeout(memberConnection);
        }
    }

    /** Detaches the connection of a transaction that got no answer; returns the error to report to the caller. */
    private SessionError abandonTransaction(OpenTransaction abandoned) {
        abandoned.connection(null);
        boolean outcomeUnknown = isCommit() && abandoned.hasWritten();
        return outcomeUnknown ? SessionError.OUTCOME_UNKNOWN : SessionError.TRANSACTION_ABORTED;
    }

    private void fail(SessionError error, String detail) {
        if (finished) {
            return;
        }
        finish(error.name(), detail, connection);
        listener.onFailure(error, detail);
    }

    private void cancelConnectionRequest() {
        ConnectionRequest pendingRequest = pendingConnectionRequest;
        if (pendingRequest != null) {
            pendingRequest.cancel();
        }
    }

    private void releaseConnection(MemberConnection memberConnection, MemberAnswer answer) {
        if (!memberConnection.isUsable()) {
            return;
        }
        if (answer.state() == TransactionState.IDLE) {
            group.release(memberConnection);
        } else {
            rollBack(memberConnection);
        }
    }

    private void rollBackIfUsable(MemberConnection memberConnection) {
        if (memberConnection.isUsable()) {
            rollBack(memberConnection);
        }
    }

    private void rollBack(MemberConnection memberConnection) {
        TransactionConnections.rollBack(memberConnection, group);
    }

    private void finish(String outcome, @Nullable String detail, @Nullable MemberConnection memberConnection) {
        finished = true;
        ScheduledFuture<?> scheduledDeadline = deadlineTimer;
        if (scheduledDeadline != null) {
            scheduledDeadline.cancel(false);
        }
        context.metrics().count("statements", "outcome", outcome);
        long now = context.clock().nowNanos();
        context.metrics().recordLatency("statement.latency", now - arrivedNanos);
        Placement currentPlacement = placement;
        var line = context.log()
                .line("statement")
                .with("request", request.requestId())
                .with("account", account)
                .with("database", route.databaseName())
                .with("group", group.name())
                .with("statement", request.statement().getClass().getSimpleName())
                .with("version", context.directory().configuration().version())
                .with(
                        "member",
                        memberConnection == null
                                ? null
                                : memberConnection.server().name())
                .with("term", group.highestTerm())
                .with("attempts", attempts)
                .with("outcome", outcome)
                .with("detail", detail)
                .with("ms", TimeUnit.NANOSECONDS.toMillis(now - arrivedNanos));
        if (currentPlacement != null) {
            line.with("primary", currentPlacement.primary())
                    .with("access", currentPlacement.access().name())
                    .with("candidates", currentPlacement.candidates())
                    .with("queuedMs", TimeUnit.NANOSECONDS.toMillis(currentPlacement.queuedNanos()));
            if (currentPlacement.minimumPosition() != null) {
                line.with("floor", currentPlacement.minimumPosition().position().toString())
                        .with(
                                "floorAgeMs",
                                TimeUnit.NANOSECONDS.toMillis(
                                        now - currentPlacement.minimumPosition().coveredUntilNanos()));
            }
        }
        line.write();
    }
}
