package org.banyanhook.gateway.session;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.configuration.DatabaseRoute;
import org.banyanhook.core.execution.ExecutionAction;
import org.banyanhook.core.execution.ExecutionEvent;
import org.banyanhook.core.execution.ExecutionPhase;
import org.banyanhook.core.execution.ExecutionTransitions;
import org.banyanhook.core.execution.UnansweredStatement;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.gateway.backend.ConnectionLease;
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

    /** After this many refusals of homes, a statement uses a connection of this daemon. */
    private static final int MAXIMUM_HOME_REFUSALS = 2;

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
    private final OperationUsage usage;
    private final ExecutionListener listener;
    private final long arrivedNanos;
    private final long deadlineNanos;
    private final Set<String> laggingMembers = new HashSet<>();
    private ExecutionPhase phase = ExecutionPhase.WAITING_FOR_CONNECTION;
    private @Nullable ConnectionRequest pendingConnectionRequest;
    private @Nullable ConnectionLease lease;
    private @Nullable Placement placement;
    private @Nullable ScheduledFuture<?> deadlineTimer;
    private int attempts;
    private String failedMember = "";
    private int homeRefusals;
    private final HeldRows heldRows = new HeldRows();
    private long lastProgressNanos;

    StatementExecution(SessionContext context, StatementTask task, long arrivedNanos, ExecutionListener listener) {
        this.context = context;
        this.request = task.request();
        this.route = task.route();
        this.group = context.groups().group(task.route().group());
        this.account = task.account();
        this.weight = task.weight();
        this.transaction = task.transaction();
        this.usage = transaction == null ? new OperationUsage(context.usage(), account) : transaction.usage();
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
        if (transaction == null || (transaction.lease() == null && !transaction.hasBegun())) {
            requestConnection();
        } else {
            continueTransaction(transaction, transaction.lease());
        }
    }

    private void continueTransaction(OpenTransaction open, @Nullable ConnectionLease transactionLease) {
        if (transactionLease == null || !transactionLease.isUsable()) {
            open.lease(null);
            fail(
                    SessionError.TRANSACTION_ABORTED,
                    "the connection to the member closed before this statement; begin a new transaction");
        } else if (requiresPrimary() && !context.primaryAccess().mayUsePrimary(group.name())) {
            open.lease(null);
            transactionLease.close("a replacement of the primary might not be detected");
            fail(
                    SessionError.TRANSACTION_ABORTED,
                    "a replacement of the primary might not be detected here; begin a new transaction");
        } else {
            lease = transactionLease;
            sendStatement(transactionLease, null);
        }
    }

    /**
     * Abandons the execution because the caller has disconnected. A statement that was already sent runs to completion;
     * its answer is not delivered.
     */
    void abandon() {
        ConnectionLease currentLease = lease;
        ExecutionAction action = ExecutionTransitions.decide(phase, ExecutionEvent.CALLER_LEFT);
        if (action == ExecutionAction.IGNORE) {
            return;
        }
        finish("abandoned", null, currentLease);
        if (transaction != null && currentLease != null) {
            // If the answer to BEGIN is still outstanding, the connection is returned when it arrives.
            transaction.lease(null);
        }
        if (action == ExecutionAction.CLOSE_SILENTLY && currentLease != null && currentLease.isUsable()) {
            currentLease.close("the caller left before it had received all rows");
        }
    }

    /** Refuses the statement if it still waits for a connection, because the process ends; it has not run then. */
    void refuseWaiting() {
        if (ExecutionTransitions.decide(phase, ExecutionEvent.PROCESS_ENDS) == ExecutionAction.WITHDRAW_AND_REPORT) {
            fail(SessionError.OVERLOADED, ShutdownAnswers.NOT_RUN_DETAIL);
        }
    }

    /** Reports what is known of the statement, because the process ends before the answer may arrive. */
    void conclude() {
        refuseWaiting();
        if (ExecutionTransitions.decide(phase, ExecutionEvent.PROCESS_ENDS) == ExecutionAction.CLOSE_AND_REPORT) {
            UnansweredStatement known =
                    UnansweredStatement.decide(phase != ExecutionPhase.BEGINNING, scope(), hasWritten());
            closeAndReport(
                    Objects.requireNonNull(lease),
                    ShutdownAnswers.error(known),
                    ShutdownAnswers.detail(known),
                    "the entry VM is being stopped");
        }
    }

    private UnansweredStatement.Scope scope() {
        if (transaction == null) {
            return UnansweredStatement.Scope.ALONE;
        }
        return isCommit() ? UnansweredStatement.Scope.COMMIT : UnansweredStatement.Scope.TRANSACTION;
    }

    private boolean hasWritten() {
        return transaction != null && isCommit() ? transaction.hasWritten() : isWrite();
    }

    /** Resumes reading rows after the caller could not take any more. */
    void resume() {
        ConnectionLease currentLease = lease;
        if (phase == ExecutionPhase.PASSING_ROWS && currentLease != null) {
            lastProgressNanos = context.clock().nowNanos();
            currentLease.reading(true);
        }
    }

    private boolean onRows(ConnectionLease source, List<String> rows) {
        if (decide(source, ExecutionEvent.ROWS_EXCEED_BOUND) != ExecutionAction.PASS_ROWS) {
            return false;
        }
        boolean exceedsBound = heldRows.add(rows);
        if (!exceedsBound && phase != ExecutionPhase.PASSING_ROWS) {
            return true;
        }
        phase = ExecutionPhase.PASSING_ROWS;
        lastProgressNanos = context.clock().nowNanos();
        source.reading(listener.onRows(heldRows.take()));
        return true;
    }

    boolean isFinished() {
        return phase == ExecutionPhase.FINISHED;
    }

    @Override
    public void onConnectionLeased(ConnectionLease newLease, Placement newPlacement) {
        if (ExecutionTransitions.decide(phase, ExecutionEvent.CONNECTION_LEASED) == ExecutionAction.USE_CONNECTION) {
            useConnection(newLease, newPlacement);
        } else {
            group.release(newLease);
        }
    }

    private void useConnection(ConnectionLease newLease, Placement newPlacement) {
        lease = newLease;
        placement = newPlacement;
        attempts++;
        if (attempts == 1 && requiresPrimary()) {
            group.busyRetries().recordFirstAttempt();
        }
        LogPosition minimumPosition = newPlacement.minimumPosition() == null
                ? null
                : newPlacement.minimumPosition().position();
        newLease.discardExcessStatements();
        if (transaction == null) {
            sendStatement(newLease, minimumPosition);
            return;
        }
        transaction.lease(newLease);
        newLease.applySessionVariables(sessionValues);
        phase = ExecutionPhase.BEGINNING;
        newLease.send(
                new MemberCommand.Own(new SessionStatement.Begin(transaction.readOnly()), minimumPosition),
                (answer, sentNanos) -> onBeginAnswer(newLease, transaction, answer));
        newLease.flush();
    }

    @Override
    public void onRefused(SessionError error, String detail) {
        if (ExecutionTransitions.decide(phase, ExecutionEvent.CONNECTION_REFUSED) == ExecutionAction.REPORT_REFUSAL) {
            fail(error, detail);
        }
    }

    private void requestConnection() {
        phase = ExecutionPhase.WAITING_FOR_CONNECTION;
        lease = null;
        heldRows.take();
        boolean requiresPrimary = requiresPrimary();
        if (requiresPrimary && !context.primaryAccess().mayUsePrimary(group.name())) {
            fail(
                    SessionError.OVERLOADED,
                    "a replacement of the primary might not be detected here; retry on a new connection");
            return;
        }
        ConnectionRequest.Requirements requirements = StatementRequirements.of(
                context.directory().configuration(), route, account, requiresPrimary, sessionPosition);
        ConnectionRequest newRequest =
                new ConnectionRequest(account, weight, requirements, arrivedNanos, deadlineNanos, this);
        newRequest.objective(route.priority(), TimeUnit.MILLISECONDS.toNanos(route.targetLatencyMillis()));
        newRequest.sessionState(sessionValues, preparedStatement);
        laggingMembers.forEach(newRequest::exclude);
        if (!failedMember.isEmpty()) {
            newRequest.exclude(failedMember);
        }
        if (homeRefusals >= MAXIMUM_HOME_REFUSALS || request.isLarge(preparedStatement)) {
            newRequest.avoidHomes();
        }
        pendingConnectionRequest = newRequest;
        group.submit(newRequest);
    }

    private boolean requiresPrimary() {
        return StatementRequirements.requiresPrimary(route, transaction == null ? isWrite() : !transaction.readOnly());
    }

    private boolean isWrite() {
        return request.statement() instanceof SessionStatement.Write
                || (preparedStatement != null && preparedStatement.writes());
    }

    private boolean isCommit() {
        return request.statement() instanceof SessionStatement.Commit;
    }

    /** Decides on an event of a connection, which may be one that the execution does not use any more. */
    private ExecutionAction decide(ConnectionLease source, ExecutionEvent event) {
        return ExecutionTransitions.decide(source == lease ? phase : ExecutionPhase.FINISHED, event);
    }

    private void onBeginAnswer(ConnectionLease source, OpenTransaction beginning, @Nullable MemberAnswer answer) {
        switch (decide(source, toBeginEvent(source, answer))) {
            case SEND_STATEMENT -> sendStatement(source, null);
            case EVALUATE_REFUSED_BEGIN -> {
                MemberAnswer refusal = Objects.requireNonNull(answer);
                beginning.lease(null);
                settle(source, refusal);
                retryOrFail(source, Objects.requireNonNull(refusal.error()), refusal.detail());
            }
            case REQUEST_CONNECTION -> {
                beginning.lease(null);
                retryOnAnotherMember(source, "the connection closed before BEGIN was answered");
            }
            case RETURN_CONNECTION -> settle(source, Objects.requireNonNull(answer));
            default -> {}
        }
    }

    private static ExecutionEvent toBeginEvent(ConnectionLease source, @Nullable MemberAnswer answer) {
        if (answer == null) {
            return ExecutionEvent.CONNECTION_LOST;
        }
        if (answer.error() != null) {
            return ExecutionEvent.BEGIN_REFUSED;
        }
        if (answer.state() != TransactionState.OPEN) {
            // A statement on this connection would run outside of a transaction.
            source.close("member answered BEGIN without opening a transaction");
            return ExecutionEvent.CONNECTION_LOST;
        }
        return ExecutionEvent.BEGIN_SUCCEEDED;
    }

    private void sendStatement(ConnectionLease currentLease, @Nullable LogPosition minimumPosition) {
        currentLease.applySessionVariables(sessionValues);
        SessionStatement statement = request.statement();
        if (statement instanceof SessionStatement.Execute execute && preparedStatement != null) {
            statement = new SessionStatement.Execute(currentLease.prepare(preparedStatement), execute.arguments());
        }
        if (transaction != null && isWrite()) {
            transaction.recordWrite();
        }
        context.metrics().count("session.state", "result", currentLease.awaitsStateAnswer() ? "awaited" : "present");
        phase = ExecutionPhase.RUNNING;
        if (!isCommit()) {
            usage.recordSent();
        }
        currentLease.send(
                new MemberCommand.PassOn(request.requestId(), statement, minimumPosition),
                new MemberConnection.AnswerListener() {
                    @Override
                    public void onAnswer(@Nullable MemberAnswer answer, long sentNanos) {
                        StatementExecution.this.onAnswer(currentLease, answer, sentNanos);
                    }

                    @Override
                    public boolean onRows(List<String> rows) {
                        return StatementExecution.this.onRows(currentLease, rows);
                    }
                });
        currentLease.flush();
    }

    private void onAnswer(ConnectionLease source, @Nullable MemberAnswer answer, long sentNanos) {
        if (answer == null) {
            usage.recordUnanswered();
            switch (decide(source, ExecutionEvent.CONNECTION_LOST)) {
                case EVALUATE_LOSS -> onConnectionLost(source);
                case REPORT_INCOMPLETE -> reportIncomplete();
                default -> {}
            }
            return;
        }
        usage.recordAnswer(answer.error());
        group.recordAnswer(source, answer.error(), context.clock().nowNanos() - sentNanos);
        if (decide(source, ExecutionEvent.STATEMENT_ANSWERED) != ExecutionAction.EVALUATE_ANSWER) {
            settle(source, answer);
        } else if (answer.error() != null) {
            onError(source, answer, answer.error());
        } else if (answer.signature() == null) {
            // Closing reports the loss of the connection to nobody, as its answer has been taken already.
            boolean rowsPassed = phase == ExecutionPhase.PASSING_ROWS;
            source.close("member reported success without a signature");
            if (rowsPassed) {
                reportIncomplete();
            } else {
                onConnectionLost(source);
            }
        } else {
            succeed(source, answer);
        }
    }

    private void succeed(ConnectionLease source, MemberAnswer finalAnswer) {
        MemberAnswer answer = withHeldRows(finalAnswer);
        finish("success", null, source);
        if (transaction == null) {
            settle(source, answer);
        } else if (isCommit()) {
            transaction.lease(null);
            settle(source, answer);
        } else {
            transaction.recordBegun();
            if (answer.state() != TransactionState.OPEN) {
                transaction.lease(null);
                source.close("member ended the transaction");
            }
        }
        listener.onSuccess(answer);
    }

    private MemberAnswer withHeldRows(MemberAnswer answer) {
        List<String> rows = heldRows.take();
        if (rows.isEmpty()) {
            return answer;
        }
        rows.addAll(answer.rows());
        return new MemberAnswer(
                rows, answer.signature(), answer.error(), answer.detail(), answer.state(), answer.position());
    }

    /** Reports that an answer of which the caller has received rows already will not be completed. */
    private void reportIncomplete() {
        SessionError error = transaction == null ? SessionError.STATEMENT_FAILED : abandonTransaction(transaction);
        fail(error, "the connection to the member closed before the answer was complete; run the statement again");
    }

    private void onError(ConnectionLease source, MemberAnswer answer, SessionError error) {
        if (error == SessionError.NOT_PRIMARY) {
            group.onNotPrimary(source.server());
        }
        if (transaction == null) {
            if (error == SessionError.PREPARED_UNKNOWN && source.isUsable()) {
                source.close("member does not have the prepared statement");
            } else {
                settle(source, answer);
            }
            retryOrFail(source, error, answer.detail());
            return;
        }
        boolean firstStatement = placement != null && !isCommit();
        transaction.lease(null);
        if (isCommit()) {
            settle(source, answer);
        } else if (source.isUsable()) {
            group.rollBack(source);
        }
        if (firstStatement && error.guaranteesNoEffect()) {
            retryOrFail(source, error, answer.detail());
        } else {
            fail(error, answer.detail());
        }
    }

    /** Retries the statement if the error guarantees that it had no effect and attempts are left; otherwise fails. */
    private void retryOrFail(ConnectionLease source, SessionError error, String detail) {
        boolean rowsPassed = phase == ExecutionPhase.PASSING_ROWS;
        boolean primaryOverloaded = error == SessionError.OVERLOADED && requiresPrimary();
        if (rowsPassed || (attempts >= MAXIMUM_ATTEMPTS && !primaryOverloaded) || !error.guaranteesNoEffect()) {
            fail(error, detail);
            return;
        }
        switch (error) {
            case REPLICA_BEHIND -> {
                group.onReplicaLagging(source.server());
                laggingMembers.add(source.server().name());
                retryOnAnotherMember(source, detail);
            }
            case HOME_REFUSED -> {
                homeRefusals++;
                requestConnection();
            }
            case HOME_ANSWER_TOO_LARGE -> {
                homeRefusals = MAXIMUM_HOME_REFUSALS;
                requestConnection();
            }
            case NOT_PRIMARY, PREPARED_UNKNOWN -> requestConnection();
            case OVERLOADED -> {
                if (primaryOverloaded) {
                    retryLater(detail);
                } else {
                    retryOnAnotherMember(source, detail);
                }
            }
            default -> fail(error, detail);
        }
    }

    private void retryLater(String detail) {
        OptionalLong delayNanos = group.busyRetries()
                .delayNanos(attempts, deadlineNanos - context.clock().nowNanos());
        if (delayNanos.isEmpty()) {
            fail(SessionError.OVERLOADED, detail);
            return;
        }
        phase = ExecutionPhase.WAITING_FOR_RETRY;
        lease = null;
        var unused = context.eventLoop()
                .schedule(
                        () -> {
                            if (ExecutionTransitions.decide(phase, ExecutionEvent.RETRY_DUE)
                                    == ExecutionAction.REQUEST_CONNECTION) {
                                requestConnection();
                            }
                        },
                        delayNanos.getAsLong(),
                        TimeUnit.NANOSECONDS);
    }

    private void onConnectionLost(ConnectionLease source) {
        if (transaction != null) {
            fail(abandonTransaction(transaction), "the connection to the member closed");
        } else if (isWrite()) {
            fail(SessionError.OUTCOME_UNKNOWN, "the connection to the member closed before it answered");
        } else {
            retryOnAnotherMember(source, "the connection to the member closed");
        }
    }

    private void retryOnAnotherMember(ConnectionLease source, String reason) {
        if (attempts >= MAXIMUM_ATTEMPTS) {
            fail(SessionError.OVERLOADED, "no member could run the statement: " + reason);
            return;
        }
        if (!requiresPrimary()) {
            failedMember = source.server().name();
        }
        requestConnection();
    }

    private void onDeadline() {
        switch (ExecutionTransitions.decide(phase, ExecutionEvent.DEADLINE_PASSED)) {
            case WITHDRAW_AND_REPORT ->
                fail(
                        SessionError.OVERLOADED,
                        "the statement was not run within " + route.statementTimeoutMillis() + " ms; retry");
            case CLOSE_AND_REPORT -> reportTimeout(Objects.requireNonNull(lease), phase == ExecutionPhase.BEGINNING);
            case CHECK_PROGRESS -> checkProgress(Objects.requireNonNull(lease));
            default -> {}
        }
    }

    /** Closes the connection if neither the member nor the caller has made progress for the time of a statement. */
    private void checkProgress(ConnectionLease passing) {
        long remainingNanos = lastProgressNanos
                + TimeUnit.MILLISECONDS.toNanos(route.statementTimeoutMillis())
                - context.clock().nowNanos();
        if (remainingNanos > 0) {
            deadlineTimer = context.eventLoop().schedule(this::onDeadline, remainingNanos, TimeUnit.NANOSECONDS);
        } else {
            reportTimeout(passing, false);
        }
    }

    private void reportTimeout(ConnectionLease silent, boolean beginning) {
        if (beginning) {
            String detail = "BEGIN was not answered within " + route.statementTimeoutMillis() + " ms; retry";
            closeAndReport(silent, SessionError.OVERLOADED, detail, "BEGIN was not answered in time");
        } else {
            SessionError error = transaction == null ? SessionError.TIMED_OUT : abandonTransaction(transaction);
            String detail = "the member did not answer within " + route.statementTimeoutMillis() + " ms";
            closeAndReport(silent, error, detail, "statement timed out");
        }
        if (silent.server().nanosSinceLastAnswer(context.clock().nowNanos()) >= UNRESPONSIVE_MEMBER_NANOS) {
            group.onTimeout(silent);
        }
    }

    /** Closes a connection with an unanswered command; finishes before, so that the loss is ignored. */
    private void closeAndReport(ConnectionLease unanswered, SessionError error, String detail, String closeReason) {
        if (transaction != null) {
            transaction.lease(null);
        }
        finish(error.name(), detail, unanswered);
        if (unanswered.isUsable()) {
            unanswered.close(closeReason);
        }
        listener.onFailure(error, detail);
    }

    /** Detaches the connection of a transaction that got no answer; returns the error to report to the caller. */
    private SessionError abandonTransaction(OpenTransaction abandoned) {
        abandoned.lease(null);
        boolean outcomeUnknown = isCommit() && abandoned.hasWritten();
        return outcomeUnknown ? SessionError.OUTCOME_UNKNOWN : SessionError.TRANSACTION_ABORTED;
    }

    private void fail(SessionError error, String detail) {
        if (phase == ExecutionPhase.FINISHED) {
            return;
        }
        SessionError reported = error == SessionError.HOME_REFUSED || error == SessionError.HOME_ANSWER_TOO_LARGE
                ? SessionError.OVERLOADED
                : error;
        finish(reported.name(), detail, lease);
        listener.onFailure(reported, detail);
    }

    /** Returns a connection after an answer; a transaction that is open on it is rolled back first. */
    private void settle(ConnectionLease source, MemberAnswer answer) {
        if (!source.isUsable()) {
            return;
        }
        if (answer.state() == TransactionState.IDLE) {
            group.release(source);
        } else {
            group.rollBack(source);
        }
    }

    private void finish(String outcome, @Nullable String detail, @Nullable ConnectionLease usedLease) {
        phase = ExecutionPhase.FINISHED;
        usage.recordUnanswered();
        ConnectionRequest pendingRequest = pendingConnectionRequest;
        if (pendingRequest != null) {
            pendingRequest.cancel();
        }
        ScheduledFuture<?> scheduledDeadline = deadlineTimer;
        if (scheduledDeadline != null) {
            scheduledDeadline.cancel(false);
        }
        StatementRecord.write(
                context,
                new StatementRecord.Outcome(
                        request, account, route, outcome, detail, attempts, placement, arrivedNanos),
                usedLease == null ? null : usedLease.server().name(),
                group.terms().newest().term());
    }
}
