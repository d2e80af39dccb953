package org.banyanhook.gateway.session;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.banyanhook.core.configuration.ClientAccount;
import org.banyanhook.core.configuration.DatabaseRoute;
import org.banyanhook.core.configuration.SessionConfiguration;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.gateway.backend.MemberConnection;
import org.banyanhook.gateway.message.ClientAnswer;
import org.banyanhook.gateway.message.ClientRequest;
import org.banyanhook.gateway.message.MemberAnswer;
import org.banyanhook.gateway.message.SessionError;
import org.banyanhook.gateway.message.SessionStatement;
import org.banyanhook.gateway.message.SessionStatement.PreparedShape;
import org.banyanhook.gateway.message.TransactionState;
import org.jspecify.annotations.Nullable;

/**
 * The session of one caller: its values, prepared names and transaction, and the requests that it has sent. Requests
 * are answered one after the other. Used on the event loop only.
 */
public final class Session extends SimpleChannelInboundHandler<ClientRequest> {

    /** Requests of one caller that may wait for the answer to an earlier one. */
    private static final int MAXIMUM_WAITING = 64;

    /** Callers give a session up that is not open after two seconds. */
    private static final long CONFIGURATION_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    private static final long CONFIGURATION_POLL_MILLIS = 40;

    /** The account under which callers without a key use routes that are open to all. */
    private static final ClientAccount EVERYBODY = new ClientAccount("public", List.of(), 0, 0, 1);

    private final SessionContext context;
    private final SessionRegistry registry;
    private final Map<String, String> values = new LinkedHashMap<>();
    private final Map<String, PreparedShape> prepared = new HashMap<>();
    private final Map<String, LogPosition> floors = new HashMap<>();
    private final Deque<ClientRequest.Run> waiting = new ArrayDeque<>();
    private @Nullable Channel channel;
    private String databaseName = "";
    private String key = "";
    private boolean opened;
    private long awaitingSinceNanos;
    private boolean busy;
    private boolean draining;
    private @Nullable OpenTransaction transaction;
    private @Nullable StatementRun current;
    private @Nullable SessionConfiguration resolvedFor;
    private Optional<Access> access = Optional.empty();

    private record Access(DatabaseRoute route, ClientAccount account) {}

    /**
     * Creates a session that is not open yet.
     *
     * @param context what all sessions share
     * @param registry knows all sessions
     */
    public Session(SessionContext context, SessionRegistry registry) {
        super(ClientRequest.class);
        this.context = context;
        this.registry = registry;
    }

    @Override
    public void channelActive(ChannelHandlerContext handlerContext) {
        channel = handlerContext.channel();
        registry.add(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext handlerContext) {
        registry.remove(this);
        waiting.clear();
        StatementRun running = current;
        if (running != null && !running.isFinished()) {
            running.abandon();
        }
        if (running == null || running.isFinished()) {
            endTransaction();
        }
        channel = null;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
        context.log()
                .line("session")
                .with("database", databaseName)
                .with("change", "broken")
                .with("reason", cause.toString())
                .write();
        handlerContext.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext handlerContext, ClientRequest request) {
        if (request instanceof ClientRequest.Open open) {
            open(open);
        } else if (request instanceof ClientRequest.Run run) {
            receive(run);
        } else if (request instanceof ClientRequest.Misunderstood misunderstood) {
            answer(new ClientAnswer.Failed(SessionError.MALFORMED, misunderstood.reason(), state()));
        } else {
            handlerContext.close();
        }
    }

    /** Ends the session as soon as nothing is under way. */
    public void drain() {
        draining = true;
        closeIfIdle();
    }

    /** Returns whether a transaction or statement is under way. */
    public boolean isActive() {
        return busy || transaction != null;
    }

    /** Rolls a transaction back that has rested for too long. */
    void tick(long nowNanos, long idleTransactionNanos) {
        OpenTransaction open = transaction;
        if (open == null
                || busy
                || open.failure() != null
                || nowNanos - open.lastActiveNanos() < idleTransactionNanos) {
            return;
        }
        releaseConnection(open);
        open.fail(SessionError.TRANSACTION_ABORTED, "the transaction rested for too long; begin again");
        context.log()
                .line("transaction")
                .with("account", open.account())
                .with("database", databaseName)
                .with("change", "rolled-back")
                .with("reason", "idle")
                .write();
    }

    private void open(ClientRequest.Open open) {
        databaseName = open.databaseName();
        key = open.key();
        SessionConfiguration configuration = context.directory().configuration();
        if (opened) {
            refuseOpen(SessionError.MALFORMED, "the session is open already");
        } else if (configuration.version() == 0) {
            awaitConfiguration();
        } else if (configuration.route(databaseName).isEmpty()) {
            refuseOpen(SessionError.DATABASE_UNKNOWN, "use a database that the operators declared");
        } else if (resolve().isEmpty()) {
            refuseOpen(SessionError.KEY_UNKNOWN, "ask an operator for a key that is granted to a client account");
        } else {
            opened = true;
            answer(new ClientAnswer.Opened());
        }
    }

    /** A daemon that has just started knows the configuration in a moment. */
    private void awaitConfiguration() {
        if (awaitingSinceNanos == 0) {
            awaitingSinceNanos = context.clock().nowNanos();
        }
        if (context.clock().nowNanos() - awaitingSinceNanos >= CONFIGURATION_WAIT_NANOS) {
            refuseOpen(SessionError.OVERLOADED, "no configuration is known here yet; retry on a new connection");
            return;
        }
        var unused = context.eventLoop()
                .schedule(
                        () -> {
                            if (channel != null) {
                                open(new ClientRequest.Open(databaseName, key));
                            }
                        },
                        CONFIGURATION_POLL_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void refuseOpen(SessionError error, String detail) {
        context.metrics().count("sessions.refused", "reason", error.name());
        context.log()
                .line("session-refusal")
                .with("database", databaseName)
                .with("outcome", error.name())
                .with("version", context.directory().configuration().version())
                .write();
        Channel present = channel;
        if (present != null) {
            present.writeAndFlush(new ClientAnswer.OpenRefused(error, detail)).addListener(ChannelFutureListener.CLOSE);
        }
    }

    private void receive(ClientRequest.Run run) {
        if (!opened) {
            refuseOpen(SessionError.MALFORMED, "open the session first");
        } else if (!busy) {
            handle(run);
        } else if (waiting.size() < MAXIMUM_WAITING) {
            waiting.add(run);
        } else {
            refuseOpen(SessionError.MALFORMED, "too many requests without an answer");
        }
    }

    private void handle(ClientRequest.Run run) {
        busy = true;
        OpenTransaction open = transaction;
        if (open != null) {
            open.touch(context.clock().nowNanos());
            handleInTransaction(run, open);
            return;
        }
        SessionStatement statement = run.statement();
        if (statement instanceof SessionStatement.Begin begin) {
            admit(run, (granted, now) -> {
                transaction = new OpenTransaction(begin.readOnly(), granted.route(), granted.account(), now);
                done(TransactionState.OPEN);
            });
        } else if (statement instanceof SessionStatement.Commit || statement instanceof SessionStatement.Rollback) {
            failed(SessionError.MALFORMED, "no transaction is open", TransactionState.IDLE);
        } else if (!handleLocally(statement)) {
            admit(run, (granted, now) -> runAlone(run, granted, now));
        }
    }

    private void handleInTransaction(ClientRequest.Run run, OpenTransaction open) {
        SessionStatement statement = run.statement();
        SessionError failure = open.failure();
        if (statement instanceof SessionStatement.Rollback) {
            endTransaction();
            done(TransactionState.IDLE);
        } else if (failure != null && statement instanceof SessionStatement.Commit) {
            endTransaction();
            failed(SessionError.TRANSACTION_ABORTED, open.failureDetail(), TransactionState.IDLE);
        } else if (failure != null) {
            boolean announced = open.failureDetail().isEmpty();
            open.fail(failure, "");
            failed(
                    announced ? SessionError.MALFORMED : SessionError.TRANSACTION_ABORTED,
                    "the transaction has failed; roll it back",
                    TransactionState.FAILED);
        } else if (statement instanceof SessionStatement.Begin) {
            failed(SessionError.MALFORMED, "a transaction is open already", TransactionState.OPEN);
        } else if (!handleLocally(statement)) {
            runInTransaction(run, open);
        }
    }

    /** Answers what needs no member; returns whether it did. */
    private boolean handleLocally(SessionStatement statement) {
        if (statement instanceof SessionStatement.SetValue set) {
            values.put(set.name(), set.value());
        } else if (statement instanceof SessionStatement.Prepare prepare) {
            prepared.put(prepare.name(), prepare.statement());
        } else if (statement instanceof SessionStatement.Deallocate deallocate) {
            prepared.remove(deallocate.name());
        } else if (statement instanceof SessionStatement.Execute execute && !prepared.containsKey(execute.name())) {
            failed(SessionError.PREPARED_UNKNOWN, "no such prepared name", state());
            return true;
        } else {
            return false;
        }
        done(state());
        return true;
    }

    /** Checks the caller's key, its route and its rate. */
    private void admit(ClientRequest.Run run, BiConsumer<Access, Long> next) {
        long now = context.clock().nowNanos();
        Optional<Access> resolved = resolve();
        if (resolved.isEmpty()) {
            boolean routeKnown =
                    context.directory().configuration().route(databaseName).isPresent();
            SessionError error = routeKnown ? SessionError.KEY_UNKNOWN : SessionError.DATABASE_UNKNOWN;
            logRefusal(run, error, "not in the configuration in force");
            draining = true;
            failed(error, "the configuration in force does not allow it", TransactionState.IDLE);
            return;
        }
        Access granted = resolved.get();
        if (granted.account() == EVERYBODY) {
            next.accept(granted, now);
            return;
        }
        context.rates().acquire(granted.account().name(), run.requestId(), accepted -> {
            if (channel == null) {
                return;
            }
            if (accepted) {
                next.accept(granted, now);
            } else {
                failed(SessionError.OVERLOADED, "over the account's rate; retry after 1000 ms", TransactionState.IDLE);
            }
        });
    }

    private void logRefusal(ClientRequest.Run run, SessionError error, String reason) {
        context.metrics().count("statements", "outcome", error.name());
        context.log()
                .line("refusal")
                .with("request", run.requestId())
                .with("database", databaseName)
                .with("outcome", error.name())
                .with("reason", reason)
                .with("version", context.directory().configuration().version())
                .write();
    }

    private Optional<Access> resolve() {
        SessionConfiguration configuration = context.directory().configuration();
        if (resolvedFor != configuration) {
            resolvedFor = configuration;
            access = configuration
                    .route(databaseName)
                    .flatMap(route -> context.directory()
                            .accountOf(key)
                            .or(() -> route.openToAll() ? Optional.of(EVERYBODY) : Optional.empty())
                            .map(account -> new Access(route, account)));
        }
        return access;
    }

    private void runAlone(ClientRequest.Run run, Access granted, long arrivedNanos) {
        DatabaseRoute route = granted.route();
        StatementRun.Task task = new StatementRun.Task(
                run,
                route,
                granted.account().name(),
                granted.account().weight(),
                null,
                Map.copyOf(values),
                shape(run),
                floors.get(route.group()));
        start(new StatementRun(context, task, arrivedNanos, new Outcome(null, run, route)));
    }

    private void runInTransaction(ClientRequest.Run run, OpenTransaction open) {
        StatementRun.Task task = new StatementRun.Task(
                run,
                open.route(),
                open.account(),
                open.weight(),
                open,
                Map.copyOf(values),
                shape(run),
                floors.get(open.route().group()));
        long now = context.clock().nowNanos();
        start(new StatementRun(context, task, now, new Outcome(open, run, open.route())));
    }

    private void start(StatementRun run) {
        current = run;
        run.start();
    }

    private @Nullable PreparedShape shape(ClientRequest.Run run) {
        return run.statement() instanceof SessionStatement.Execute execute ? prepared.get(execute.name()) : null;
    }

    private TransactionState state() {
        OpenTransaction open = transaction;
        if (open == null) {
            return TransactionState.IDLE;
        }
        return open.failure() == null ? TransactionState.OPEN : TransactionState.FAILED;
    }

    private void endTransaction() {
        OpenTransaction open = transaction;
        transaction = null;
        if (open != null) {
            releaseConnection(open);
        }
    }

    private void releaseConnection(OpenTransaction open) {
        MemberConnection connection = open.connection();
        open.connection(null);
        if (connection != null && connection.isUsable()) {
            Transactions.rollBack(
                    connection, context.groups().group(open.route().group()));
        }
    }

    private void done(TransactionState state) {
        finished(new ClientAnswer.Completed(List.of(), null, state));
    }

    private void failed(SessionError error, String detail, TransactionState state) {
        finished(new ClientAnswer.Failed(error, detail, state));
    }

    private void finished(ClientAnswer answer) {
        current = null;
        busy = false;
        OpenTransaction open = transaction;
        if (open != null) {
            open.touch(context.clock().nowNanos());
        }
        answer(answer);
        if (channel == null) {
            endTransaction();
            return;
        }
        ClientRequest.Run next = waiting.poll();
        if (next != null) {
            handle(next);
        } else {
            closeIfIdle();
        }
    }

    private void closeIfIdle() {
        Channel present = channel;
        if (draining && !isActive() && waiting.isEmpty() && present != null) {
            present.close();
        }
    }

    private void answer(ClientAnswer answer) {
        Channel present = channel;
        if (present != null) {
            present.writeAndFlush(answer, present.voidPromise());
        }
    }

    /** Turns the outcome of a run into the answer to the caller. */
    private final class Outcome implements StatementRun.Listener {
        private final @Nullable OpenTransaction within;
        private final ClientRequest.Run run;
        private final DatabaseRoute route;

        private Outcome(@Nullable OpenTransaction within, ClientRequest.Run run, DatabaseRoute route) {
            this.within = within;
            this.run = run;
            this.route = route;
        }

        @Override
        public void onSuccess(MemberAnswer answer) {
            boolean commits = run.statement() instanceof SessionStatement.Commit;
            LogPosition position = answer.position();
            if (position != null && (commits || within == null) && mayHaveWritten()) {
                floors.merge(route.group(), position, LogPosition::latest);
            }
            if (commits) {
                transaction = null;
            }
            finished(new ClientAnswer.Completed(answer.rows(), answer.signature(), state()));
        }

        @Override
        public void onFailure(SessionError error, String detail) {
            boolean commits = run.statement() instanceof SessionStatement.Commit;
            if (within != null && commits) {
                transaction = null;
            } else if (within != null) {
                within.fail(error, "");
            }
            failed(error, detail, state());
        }

        private boolean mayHaveWritten() {
            if (within != null) {
                return within.wrote();
            }
            PreparedShape executed = shape(run);
            return run.statement() instanceof SessionStatement.Write || (executed != null && executed.writes());
        }
    }

    /** Returns the time that a transaction may rest, in nanoseconds. */
    static long idleTransactionNanos(SessionContext context) {
        return TimeUnit.MILLISECONDS.toNanos(context.directory().configuration().idleTransactionTimeoutMillis());
    }
}
