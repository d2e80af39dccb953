package org.banyanhook.daemon.execution;

import static java.util.Objects.requireNonNull;

import com.google.common.io.BaseEncoding;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.core.configuration.Database;
import org.banyanhook.core.error.Execution;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.core.transaction.StepDecision;
import org.banyanhook.core.transaction.TransactionId;
import org.banyanhook.core.transaction.TransactionRegistry;
import org.banyanhook.core.transaction.TransactionStep;
import org.banyanhook.daemon.duty.ReliableTaskQueue;
import org.banyanhook.daemon.duty.TaskLoop;
import org.jspecify.annotations.Nullable;

/**
 * Executes the transactions whose home is this entry VM.
 *
 * <p>Each transaction owns one connection from its begin to its end, and no other requests are sent on that connection.
 * The registry and the map of open transactions are accessed only by the task loop. Safe for use by several threads.
 */
public final class LocalTransactionExecutor implements TransactionExecutor, AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(LocalTransactionExecutor.class);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration MAXIMUM_LIFETIME = Duration.ofSeconds(60);
    private static final Duration ENDED_RETENTION_PERIOD = Duration.ofMinutes(5);
    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final int NONCE_BYTES = 16;

    private final String entryVm;
    private final long incarnation;
    private final LocalStatementExecutor statementExecutor;
    private final SecureRandom random = new SecureRandom();
    private final TransactionRegistry registry = new TransactionRegistry(
            IDLE_TIMEOUT.toNanos(), MAXIMUM_LIFETIME.toNanos(), ENDED_RETENTION_PERIOD.toNanos());
    private final Map<TransactionId, OpenTransaction> openTransactions = new HashMap<>();
    private final ReliableTaskQueue reliableTasks = new ReliableTaskQueue();
    private final TaskLoop taskLoop;
    private volatile int openCount;

    /**
     * Creates an executor and starts its task loop.
     *
     * @param entryVm the name of this entry VM
     * @param incarnation the incarnation of this daemon, different after each start
     * @param statementExecutor supplies members, connections and confirmations
     */
    public LocalTransactionExecutor(String entryVm, long incarnation, LocalStatementExecutor statementExecutor) {
        this.entryVm = requireNonNull(entryVm, "entryVm");
        this.incarnation = incarnation;
        this.statementExecutor = requireNonNull(statementExecutor, "statementExecutor");
        this.taskLoop = TaskLoop.builder("transactions")
                .tick(TICK_INTERVAL, this::expireTransactions)
                .start();
    }

    /** Returns the number of open transactions. */
    public int openCount() {
        return openCount;
    }

    @Override
    public CompletableFuture<TransactionOutcome> execute(TransactionCommand command) {
        return command.step() == TransactionStep.BEGIN ? begin(command) : executeStep(command);
    }

    @Override
    public void close() {
        taskLoop.submit(() -> openTransactions
                .values()
                .forEach(transaction -> transaction.connection().discard()));
        taskLoop.close();
    }

    private CompletableFuture<TransactionOutcome> begin(TransactionCommand command) {
        Database database;
        try {
            database = statementExecutor.chooser().database(command.database());
        } catch (RefusalException refusal) {
            return CompletableFuture.failedFuture(refusal);
        }
        int limit = Math.max(1, statementExecutor.connectionShare(database) / 2);
        return runOnTaskLoop(() -> registry.openCount(database.name()) < limit)
                .thenCompose(hasCapacity -> hasCapacity
                        ? new TransactionBegin(statementExecutor, command, database).start()
                        : CompletableFuture.failedFuture(tooManyTransactions(database, limit)))
                .thenCompose(transaction -> register(command, transaction));
    }

    private CompletableFuture<TransactionOutcome> register(TransactionCommand command, OpenTransaction transaction) {
        byte[] nonce = new byte[NONCE_BYTES];
        random.nextBytes(nonce);
        TransactionId id = new TransactionId(
                entryVm, incarnation, command.database(), BaseEncoding.base16().encode(nonce));
        CompletableFuture<TransactionOutcome> result = runOnTaskLoop(() -> {
            registry.open(id, command.account(), System.nanoTime());
            openTransactions.put(id, transaction);
            openCount = registry.openCount();
            return new TransactionOutcome(id, TransactionStepExecution.emptyOutcome(command, transaction));
        });
        return result.whenComplete((outcome, failure) -> {
            if (failure != null) {
                transaction.connection().discard();
            }
        });
    }

    private CompletableFuture<TransactionOutcome> executeStep(TransactionCommand command) {
        TransactionId id = command.transaction();
        return runOnTaskLoop(() -> startStep(command)).thenCompose(started -> {
            OpenTransaction transaction = started.transaction();
            if (transaction == null) {
                return CompletableFuture.failedFuture(refusal(started.decision()));
            }
            TransactionStepExecution execution = new TransactionStepExecution(statementExecutor, command, transaction);
            return execution
                    .start()
                    .whenComplete((outcome, failure) -> finishStep(id, transaction, execution.effect()))
                    .thenApply(outcome -> new TransactionOutcome(id, outcome));
        });
    }

    private StartedStep startStep(TransactionCommand command) {
        StepDecision decision =
                registry.startStep(command.transaction(), command.account(), command.step(), System.nanoTime());
        boolean mayRun = decision == StepDecision.RUN;
        return new StartedStep(decision, mayRun ? openTransactions.get(command.transaction()) : null);
    }

    private record StartedStep(
            StepDecision decision, @Nullable OpenTransaction transaction) {}

    /** Records the effect of a step, and releases the connection if the step ended the transaction. */
    private void finishStep(TransactionId id, OpenTransaction transaction, TransactionStepExecution.Effect effect) {
        reliableTasks.add(taskLoop, () -> {
            switch (effect) {
                case REMAINS_OPEN -> registry.continueAfterStep(id, System.nanoTime());
                case ROLLED_BACK -> endTransaction(id, false);
                default -> endTransaction(id, true);
            }
        });
        if (effect != TransactionStepExecution.Effect.REMAINS_OPEN) {
            transaction.connection().release();
        }
    }

    private void endTransaction(TransactionId id, boolean commitMaybeSent) {
        registry.end(id, commitMaybeSent, System.nanoTime());
        openTransactions.remove(id);
        openCount = registry.openCount();
    }

    private void expireTransactions() {
        reliableTasks.runAll();
        for (TransactionId id : registry.expire(System.nanoTime())) {
            OpenTransaction transaction = openTransactions.remove(id);
            if (transaction != null) {
                LOGGER.info(
                        "a transaction on database {} exceeded its idle timeout or lifetime and is rolled back",
                        id.database());
                transaction.connection().discard();
            }
        }
        openCount = registry.openCount();
    }

    private <T> CompletableFuture<T> runOnTaskLoop(Supplier<T> computation) {
        CompletableFuture<T> result = new CompletableFuture<>();
        boolean accepted = taskLoop.submit(() -> {
            reliableTasks.runAll();
            result.completeAsync(computation, Runnable::run);
        });
        if (!accepted) {
            result.completeExceptionally(RefusalException.builder(RefusalKind.QUEUE_FULL)
                    .detail("The queue of transaction requests on this entry VM is full.")
                    .retryAfter(RETRY_AFTER)
                    .build());
        }
        return result;
    }

    private static RefusalException tooManyTransactions(Database database, int limit) {
        return RefusalException.builder(RefusalKind.QUEUE_FULL)
                .detail("This home has reached its limit of open transactions on database " + database.name() + ": "
                        + limit + ".")
                .retryAfter(RETRY_AFTER)
                .build();
    }

    private static RefusalException refusal(StepDecision decision) {
        RefusalKind kind = decision.refusal().orElse(RefusalKind.TRANSACTION_LOST);
        Execution execution = decision.execution();
        return RefusalException.builder(kind)
                .execution(execution)
                .detail("The transaction does not allow this step: " + decision + ".")
                .build();
    }
}
