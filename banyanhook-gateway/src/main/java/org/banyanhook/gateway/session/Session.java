package org.banyanhook.gateway.session;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.banyanhook.core.configuration.DatabaseRoute;
import org.banyanhook.core.configuration.SessionConfiguration;
import org.banyanhook.core.execution.ShutdownSchedule;
import org.banyanhook.core.execution.TransactionContinuation;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.gateway.backend.ConnectionLease;
import org.banyanhook.gateway.message.ClientAnswer;
import org.banyanhook.gateway.message.ClientRequest;
import org.banyanhook.gateway.message.MemberAnswer;
import org.banyanhook.gateway.message.SessionError;
import org.banyanhook.gateway.message.SessionStatement;
import org.banyanhook.gateway.message.SessionStatement.PreparedShape;
import org.banyanhook.gateway.message.TransactionState;
import org.jspecify.annotations.Nullable;

/**
 * The session of one caller. It holds the session values, the prepared statements, the open transaction and the
 * requests that wait for an answer. Requests are processed one at a time, in order. Confined to the event loop.
 */
public final class Session extends SimpleChannelInboundHandler<ClientRequest> {

    /** What the session charges for the object of a value or prepared statement, in addition to its text. */
    private static final int STATE_ENTRY_BYTES = 64;

    /** Callers abandon a session that is not open after two seconds; a refusal must reach them earlier. */
    private static final long CONFIGURATION_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    private static final long CONFIGURATION_POLL_INTERVAL_MILLIS = 40;

    /** A task with any delay runs after the connections have been read once more. */
    private static final long READ_PASS_MILLIS = 1;

    /** How long a stop leaves a session open that has received no statement yet. */
    private static final long FIRST_STATEMENT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final SessionContext context;
    private final SessionRegistry registry;
    private final Map<String, String> sessionValues = new LinkedHashMap<>();
    private final Map<String, PreparedShape> preparedStatements = new HashMap<>();
    private final Map<String, LogPosition> minimumPositions = new HashMap<>();
    private final ClientConnection input;
    private final GracefulClose closing = new GracefulClose();
    private final SessionLog sessionLog;
    private final StatementGuard guard;
    private @Nullable Channel channel;
    private String databaseName = "";
    private String key = "";
    private boolean statementReceived;
    private boolean opened;
    private long configurationWaitStartNanos;
    private boolean requestInProgress;
    private @Nullable ClientRequest currentRequest;
    private boolean draining;
    private boolean awaitingStatement;
    private long statementWaitNumber;
    private long beganNanos;
    private boolean concluded;
    private long admissionNumber;
    private @Nullable OpenTransaction transaction;
    private @Nullable StatementExecution currentExecution;
    private SessionAuthorization authorization;

    /**
     * Creates a session. The caller has to open it with {@link ClientRequest.Open}.
     *
     * @param context the dependencies that all sessions share
     * @param registry the registry that the session joins while its connection is active
     * @param input the requests that the caller has sent ahead, and what the connection is charged for
     */
    public Session(SessionContext context, SessionRegistry registry, ClientConnection input) {
        super(ClientRequest.class);
        this.context = context;
        this.registry = registry;
        this.input = input;
        this.sessionLog = new SessionLog(context);
        this.guard = new StatementGuard(context);
        this.authorization = new SessionAuthorization(context.directory(), databaseName, key);
    }

    @Override
    public void channelActive(ChannelHandlerContext handlerContext) {
        channel = handlerContext.channel();
        beganNanos = context.clock().nowNanos();
        input.attach(handlerContext.channel(), this::closeIfIdle);
        registry.add(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext handlerContext) {
        registry.remove(this);
        input.detach();
        StatementExecution execution = currentExecution;
        if (execution != null && !execution.isFinished()) {
            execution.abandon();
        }
        if (execution == null || execution.isFinished()) {
            endTransaction();
        }
        channel = null;
    }

    /** Resumes reading the rows of an answer when the caller has taken those sent before. */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext handlerContext) {
        // Before more rows are read, so that what the client has taken is noticed.
        input.updateOutbound();
        StatementExecution execution = currentExecution;
        if (execution != null && handlerContext.channel().isWritable()) {
            execution.resume();
        }
        startNextRequest();
        handlerContext.fireChannelWritabilityChanged();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
        sessionLog.broken(databaseName, cause);
        handlerContext.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext handlerContext, ClientRequest request) {
        if (closing.isOutputClosed()) {
            // Sent after the session was closed; nothing of it runs and no answer can reach the caller.
            return;
        }
        if (request instanceof ClientRequest.Open open) {
            open(open);
        } else if (request instanceof ClientRequest.Run run) {
            receiveRequest(run);
        } else if (request instanceof ClientRequest.Misunderstood misunderstood) {
            if (opened || isOpening()) {
                receiveRequest(misunderstood);
            } else {
                sendAnswer(new ClientAnswer.Failed(SessionError.MALFORMED, misunderstood.reason(), transactionState()));
            }
        } else {
            handlerContext.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        }
    }

    /**
     * Refuses statements that may not be answered before the process ends.
     *
     * @param schedule decides which statements still run
     */
    void beginShutdown(ShutdownSchedule schedule) {
        guard.beginShutdown(schedule);
    }

    /**
     * Closes the session as soon as no transaction or statement is in progress. A caller who has just connected or
     * opened the session has some time to send the first statement, which is then answered.
     */
    void drain() {
        draining = true;
        long remainingNanos =
                beganNanos + FIRST_STATEMENT_TIMEOUT_NANOS - context.clock().nowNanos();
        if (statementReceived || remainingNanos <= 0) {
            closeIfIdle();
        } else {
            awaitFirstStatement(remainingNanos);
        }
    }

    private void awaitFirstStatement(long timeoutNanos) {
        awaitingStatement = true;
        long number = ++statementWaitNumber;
        // Tasks that are due run before the next reading, so the last delay begins in a task of its own.
        context.eventLoop()
                .schedule(
                        () -> context.eventLoop()
                                .schedule(() -> endWait(number), READ_PASS_MILLIS, TimeUnit.MILLISECONDS),
                        timeoutNanos,
                        TimeUnit.NANOSECONDS);
    }

    private void endWait(long number) {
        if (number == statementWaitNumber) {
            awaitingStatement = false;
            closeIfIdle();
        }
    }

    /** Refuses the statement that waits for a connection, if there is one, because the process ends. */
    void refuseWaiting() {
        closeOnError(() -> {
            StatementExecution execution = currentExecution;
            if (execution != null) {
                execution.refuseWaiting();
            }
        });
    }

    /** Answers every request that has no answer yet and closes the session, because the process ends. */
    void conclude() {
        concluded = true;
        draining = true;
        awaitingStatement = false;
        // A token that is granted later must not let the request run.
        admissionNumber++;
        closeOnError(() -> {
            answerOutstanding();
            startNextRequest();
            endSilentTransaction();
            closeIfIdle();
        });
    }

    private void answerOutstanding() {
        StatementExecution execution = currentExecution;
        ClientRequest request = currentRequest;
        if (execution != null) {
            execution.conclude();
        } else if (requestInProgress && request != null) {
            sessionLog.requestRefused(request, databaseName, "the entry VM is being stopped");
            answerFailed(SessionError.OVERLOADED, ShutdownAnswers.NOT_RUN_DETAIL, transactionState());
        } else if (isOpening()) {
            refuseSession(SessionError.OVERLOADED, ShutdownAnswers.NOT_RUN_DETAIL);
        }
    }

    private void endSilentTransaction() {
        OpenTransaction openTransaction = transaction;
        if (openTransaction != null && openTransaction.failure() == null) {
            releaseConnection(openTransaction);
            openTransaction.recordFailure(
                    SessionError.TRANSACTION_ABORTED, TransactionContinuation.ENTRY_VM_STOPS.detail());
            sessionLog.transactionRolledBack(openTransaction, databaseName, "the process ends");
        }
    }

    /** Closes the connection if a step fails, so that the error does not affect other sessions. */
    private void closeOnError(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException exception) {
            sessionLog.broken(databaseName, exception);
            Channel clientChannel = channel;
            if (clientChannel != null) {
                clientChannel.close();
            }
        }
    }

    /** Returns whether a request has no answer yet. */
    boolean awaitsAnswer() {
        return requestInProgress || isOpening() || !input.isQueueEmpty() || input.holdsUndecoded();
    }

    /** Returns whether the caller has a transaction open. */
    boolean hasTransaction() {
        return transaction != null;
    }

    /** Returns whether a transaction or statement is in progress, or an answer has not been sent completely. */
    public boolean isActive() {
        return awaitingStatement || isBusy() || closing.isInProgress();
    }

    private boolean isBusy() {
        return awaitsAnswer() || (transaction != null && !concluded);
    }

    private boolean isOpening() {
        return configurationWaitStartNanos != 0 && !opened;
    }

    /** Rolls back the transaction if it has been idle for at least the timeout. */
    void rollBackIdleTransaction(long nowNanos, long timeoutNanos) {
        OpenTransaction openTransaction = transaction;
        if (openTransaction == null
                || requestInProgress
                || openTransaction.failure() != null
                || nowNanos - openTransaction.lastActivityNanos() < timeoutNanos) {
            return;
        }
        releaseConnection(openTransaction);
        openTransaction.recordFailure(
                SessionError.TRANSACTION_ABORTED, "the transaction exceeded the idle timeout; begin a new transaction");
        sessionLog.transactionRolledBack(openTransaction, databaseName, "idle");
    }

    private void open(ClientRequest.Open open) {
        if (opened) {
            refuseSession(SessionError.MALFORMED, "the session is already open");
            return;
        }
        databaseName = open.databaseName();
        key = open.key();
        authorization = new SessionAuthorization(context.directory(), databaseName, key);
        SessionConfiguration configuration = context.directory().configuration();
        if (configuration.version() == 0) {
            awaitConfiguration();
        } else if (configuration.route(databaseName).isEmpty()) {
            refuseSession(
                    SessionError.DATABASE_UNKNOWN,
                    "the database is not configured; use a database that the operators configured");
        } else if (authorization.current().isEmpty()) {
            refuseSession(
                    SessionError.KEY_UNKNOWN,
                    "the key is not granted to a client account; ask an operator for a granted key");
        } else if (!input.open(authorization.current().get(), key)) {
            refuseSession(
                    SessionError.CONNECTION_LIMIT,
                    "too many sessions are open with the key; close idle sessions, then retry");
        } else {
            opened = true;
            input.chargeState((long) databaseName.length() + key.length());
            sendAnswer(new ClientAnswer.Opened());
            beganNanos = context.clock().nowNanos();
            if (draining && !concluded) {
                awaitFirstStatement(FIRST_STATEMENT_TIMEOUT_NANOS);
            }
            if (!startNextRequest()) {
                closeIfIdle();
            }
        }
    }

    /** Retries until the configuration has been read, which happens shortly after the daemon has started. */
    private void awaitConfiguration() {
        if (configurationWaitStartNanos == 0) {
            configurationWaitStartNanos = context.clock().nowNanos();
        }
        if (context.clock().nowNanos() - configurationWaitStartNanos >= CONFIGURATION_TIMEOUT_NANOS) {
            refuseSession(
                    SessionError.OVERLOADED, "the configuration has not been read yet; retry on a new connection");
            return;
        }
        var unused = context.eventLoop()
                .schedule(
                        () -> {
                            if (channel != null) {
                                open(new ClientRequest.Open(databaseName, key));
                            }
                        },
                        CONFIGURATION_POLL_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void refuseSession(SessionError error, String detail) {
        Channel clientChannel = channel;
        sessionLog.sessionRefused(clientChannel, databaseName, key, error);
        if (clientChannel != null) {
            clientChannel
                    .writeAndFlush(new ClientAnswer.OpenRefused(error, detail))
                    .addListener(ChannelFutureListener.CLOSE);
        }
    }

    private void receiveRequest(ClientRequest request) {
        if (isOpening()) {
            // Sent ahead while the opening waits for the configuration.
            input.enqueue(request);
        } else if (!opened) {
            refuseSession(SessionError.MALFORMED, "the session is not open; open it first");
        } else if (!requestInProgress && input.isQueueEmpty() && takesAnswers()) {
            input.startLast();
            handleRequest(request);
        } else {
            input.enqueue(request);
        }
    }

    /** Returns whether the caller reads its answers; its next request waits otherwise, so that they are bounded. */
    private boolean takesAnswers() {
        Channel clientChannel = channel;
        return concluded || (clientChannel != null && clientChannel.isWritable());
    }

    /** Handles the next request that waits; returns whether there was one that could be started. */
    private boolean startNextRequest() {
        ClientRequest next = opened && !requestInProgress && takesAnswers() ? input.startNext() : null;
        if (next == null) {
            return false;
        }
        handleRequest(next);
        return true;
    }

    private void handleRequest(ClientRequest request) {
        requestInProgress = true;
        statementReceived = true;
        currentRequest = request;
        if (request instanceof ClientRequest.Run run) {
            handleStatement(run);
        } else if (request instanceof ClientRequest.Misunderstood misunderstood) {
            answerFailed(SessionError.MALFORMED, misunderstood.reason(), transactionState());
        }
    }

    private void handleStatement(ClientRequest.Run run) {
        OpenTransaction openTransaction = transaction;
        if (openTransaction != null) {
            openTransaction.recordActivity(context.clock().nowNanos());
            handleInTransaction(run, openTransaction);
            return;
        }
        SessionStatement statement = run.statement();
        if (statement instanceof SessionStatement.Begin begin) {
            admit(run, (authorized, now) -> {
                transaction = new OpenTransaction(
                        begin.readOnly(),
                        authorized.route(),
                        authorized.account(),
                        new OperationUsage(context.usage(), authorized.account().name()),
                        now);
                answerCompleted(TransactionState.OPEN);
            });
        } else if (statement instanceof SessionStatement.Commit || statement instanceof SessionStatement.Rollback) {
            answerFailed(SessionError.MALFORMED, "no transaction is open", TransactionState.IDLE);
        } else if (!handleLocally(statement)) {
            admit(run, (authorized, now) -> runOutsideTransaction(run, authorized, now));
        }
    }

    private void handleInTransaction(ClientRequest.Run run, OpenTransaction openTransaction) {
        SessionStatement statement = run.statement();
        SessionError failure = openTransaction.failure();
        if (statement instanceof SessionStatement.Rollback) {
            endTransaction();
            answerCompleted(TransactionState.IDLE);
        } else if (failure != null && statement instanceof SessionStatement.Commit) {
            endTransaction();
            answerFailed(SessionError.TRANSACTION_ABORTED, openTransaction.failureDetail(), TransactionState.IDLE);
        } else if (failure != null) {
            boolean failureReported = openTransaction.failureDetail().isEmpty();
            openTransaction.recordFailure(failure, "");
            answerFailed(
                    failureReported ? SessionError.MALFORMED : SessionError.TRANSACTION_ABORTED,
                    "the transaction has failed; roll it back",
                    TransactionState.FAILED);
        } else if (statement instanceof SessionStatement.Begin) {
            answerFailed(SessionError.MALFORMED, "a transaction is already open", TransactionState.OPEN);
        } else if (!handleLocally(statement)) {
            TransactionContinuation continuation = guard.decide(openTransaction, authorization);
            if (continuation == TransactionContinuation.CONTINUES) {
                runInTransaction(run, openTransaction);
            } else {
                abortTransaction(run, openTransaction, continuation);
            }
        }
    }

    private void abortTransaction(
            ClientRequest.Run run, OpenTransaction openTransaction, TransactionContinuation reason) {
        sessionLog.transactionRolledBack(openTransaction, databaseName, reason.name());
        if (run.statement() instanceof SessionStatement.Commit) {
            endTransaction();
        } else {
            releaseConnection(openTransaction);
            openTransaction.recordFailure(SessionError.TRANSACTION_ABORTED, "");
        }
        answerFailed(SessionError.TRANSACTION_ABORTED, reason.detail(), transactionState());
    }

    /** Processes a statement that needs no member; returns whether it was one. */
    private boolean handleLocally(SessionStatement statement) {
        if (statement instanceof SessionStatement.SetValue set) {
            String former = sessionValues.put(set.name(), set.value());
            chargeState(set.name(), former, set.value());
        } else if (statement instanceof SessionStatement.Prepare prepare) {
            PreparedShape former = preparedStatements.put(prepare.name(), prepare.statement());
            chargeState(
                    prepare.name(),
                    former == null ? null : former.text(),
                    prepare.statement().text());
        } else if (statement instanceof SessionStatement.Deallocate deallocate) {
            PreparedShape former = preparedStatements.remove(deallocate.name());
            if (former != null) {
                input.chargeState(-STATE_ENTRY_BYTES
                        - deallocate.name().length()
                        - former.text().length());
            }
        } else if (statement instanceof SessionStatement.Execute execute
                && !preparedStatements.containsKey(execute.name())) {
            answerFailed(SessionError.PREPARED_UNKNOWN, "no prepared statement has this name", transactionState());
            return true;
        } else {
            return false;
        }
        answerCompleted(transactionState());
        return true;
    }

    private void chargeState(String name, @Nullable String former, String text) {
        input.chargeState(
                former == null ? STATE_ENTRY_BYTES + name.length() + text.length() : text.length() - former.length());
    }

    /** Checks the key, the route and the rate limit of the caller before a statement runs. */
    private void admit(ClientRequest.Run run, BiConsumer<SessionAuthorization.Grant, Long> onAdmitted) {
        long now = context.clock().nowNanos();
        Optional<SessionAuthorization.Grant> granted = authorization.current();
        if (granted.isEmpty()) {
            boolean routeKnown =
                    context.directory().configuration().route(databaseName).isPresent();
            SessionError error = routeKnown ? SessionError.KEY_UNKNOWN : SessionError.DATABASE_UNKNOWN;
            sessionLog.statementRefused(run, databaseName, error, "not in the current configuration");
            draining = true;
            answerFailed(
                    error, "the current configuration does not permit the key or the database", TransactionState.IDLE);
            return;
        }
        SessionAuthorization.Grant authorized = granted.get();
        if (!guard.leavesTimeFor(authorized.route())) {
            sessionLog.statementRefused(run, databaseName, SessionError.OVERLOADED, "the entry VM is being stopped");
            answerFailed(
                    SessionError.OVERLOADED,
                    "this entry VM is being stopped; retry on a new connection",
                    TransactionState.IDLE);
            return;
        }
        if (!input.mayRun()) {
            sessionLog.statementRefused(run, databaseName, SessionError.OVERLOADED, "large statements in progress");
            answerFailed(
                    SessionError.OVERLOADED,
                    "too many large statements are in progress; retry after 1000 ms",
                    TransactionState.IDLE);
            return;
        }
        if (!authorized.isRateLimited()) {
            onAdmitted.accept(authorized, now);
            return;
        }
        long number = ++admissionNumber;
        context.rateLimiter().acquire(authorized.account().name(), run.requestId(), admitted -> {
            if (channel == null || number != admissionNumber) {
                return;
            }
            if (admitted) {
                onAdmitted.accept(authorized, now);
            } else {
                answerFailed(
                        SessionError.OVERLOADED,
                        "rate limit of the account exceeded; retry after 1000 ms",
                        TransactionState.IDLE);
            }
        });
    }

    private void runOutsideTransaction(
            ClientRequest.Run run, SessionAuthorization.Grant authorized, long arrivedNanos) {
        DatabaseRoute route = authorized.route();
        StatementTask task = new StatementTask(
                run,
                route,
                authorized.account().name(),
                authorized.account().weight(),
                null,
                Map.copyOf(sessionValues),
                preparedStatement(run),
                minimumPositions.get(route.group()));
        start(new StatementExecution(context, task, arrivedNanos, new OutcomeListener(null, run, route)));
    }

    private void runInTransaction(ClientRequest.Run run, OpenTransaction openTransaction) {
        StatementTask task = new StatementTask(
                run,
                openTransaction.route(),
                openTransaction.account(),
                openTransaction.weight(),
                openTransaction,
                Map.copyOf(sessionValues),
                preparedStatement(run),
                minimumPositions.get(openTransaction.route().group()));
        long now = context.clock().nowNanos();
        start(new StatementExecution(
                context, task, now, new OutcomeListener(openTransaction, run, openTransaction.route())));
    }

    private void start(StatementExecution execution) {
        currentExecution = execution;
        execution.start();
    }

    private @Nullable PreparedShape preparedStatement(ClientRequest.Run run) {
        return run.statement() instanceof SessionStatement.Execute execute
                ? preparedStatements.get(execute.name())
                : null;
    }

    private TransactionState transactionState() {
        OpenTransaction openTransaction = transaction;
        if (openTransaction == null) {
            return TransactionState.IDLE;
        }
        return openTransaction.failure() == null ? TransactionState.OPEN : TransactionState.FAILED;
    }

    private void endTransaction() {
        OpenTransaction openTransaction = transaction;
        transaction = null;
        if (openTransaction != null) {
            releaseConnection(openTransaction);
        }
    }

    private void releaseConnection(OpenTransaction openTransaction) {
        ConnectionLease lease = openTransaction.lease();
        openTransaction.lease(null);
        if (lease != null && lease.isUsable()) {
            context.groups().group(openTransaction.route().group()).rollBack(lease);
        }
    }

    private void answerCompleted(TransactionState state) {
        finishRequest(new ClientAnswer.Completed(List.of(), null, state));
    }

    private void answerFailed(SessionError error, String detail, TransactionState state) {
        finishRequest(new ClientAnswer.Failed(error, detail, state));
    }

    private void finishRequest(ClientAnswer answer) {
        currentExecution = null;
        requestInProgress = false;
        input.finished();
        OpenTransaction openTransaction = transaction;
        if (openTransaction != null) {
            openTransaction.recordActivity(context.clock().nowNanos());
        }
        sendAnswer(answer);
        if (channel == null) {
            endTransaction();
            return;
        }
        if (!startNextRequest()) {
            closeIfIdle();
        }
    }

    private void closeIfIdle() {
        Channel clientChannel = channel;
        if (draining && !isActive() && clientChannel != null) {
            closing.start(clientChannel, this::isBusy);
        }
    }

    private void sendAnswer(ClientAnswer answer) {
        Channel clientChannel = channel;
        if (clientChannel != null) {
            closing.recordWrite();
            clientChannel.writeAndFlush(answer, clientChannel.voidPromise());
            input.updateOutbound();
        }
    }

    /** Updates the session with the outcome of an execution and answers the caller. */
    private final class OutcomeListener implements ExecutionListener {
        private final @Nullable OpenTransaction enclosingTransaction;
        private final ClientRequest.Run run;
        private final DatabaseRoute route;

        private OutcomeListener(
                @Nullable OpenTransaction enclosingTransaction, ClientRequest.Run run, DatabaseRoute route) {
            this.enclosingTransaction = enclosingTransaction;
            this.run = run;
            this.route = route;
        }

        @Override
        public void onSuccess(MemberAnswer answer) {
            boolean commit = run.statement() instanceof SessionStatement.Commit;
            LogPosition position = answer.position();
            if (position != null && (commit || enclosingTransaction == null) && mayHaveWritten()) {
                minimumPositions.merge(route.group(), position, LogPosition::latest);
            }
            if (commit) {
                transaction = null;
            }
            finishRequest(new ClientAnswer.Completed(answer.rows(), answer.signature(), transactionState()));
        }

        @Override
        public void onFailure(SessionError error, String detail) {
            boolean commit = run.statement() instanceof SessionStatement.Commit;
            if (enclosingTransaction != null && commit) {
                transaction = null;
            } else if (enclosingTransaction != null) {
                enclosingTransaction.recordFailure(error, "");
            }
            answerFailed(error, detail, transactionState());
        }

        @Override
        public boolean onRows(List<String> rows) {
            sendAnswer(new ClientAnswer.Rows(rows));
            Channel clientChannel = channel;
            return clientChannel == null || clientChannel.isWritable();
        }

        private boolean mayHaveWritten() {
            if (enclosingTransaction != null) {
                return enclosingTransaction.hasWritten();
            }
            PreparedShape executedStatement = preparedStatement(run);
            return run.statement() instanceof SessionStatement.Write
                    || (executedStatement != null && executedStatement.writes());
        }
    }

    /** Returns the configured idle timeout of transactions in nanoseconds. */
    static long idleTransactionTimeoutNanos(SessionContext context) {
        return TimeUnit.MILLISECONDS.toNanos(context.directory().configuration().idleTransactionTimeoutMillis());
    }
}
