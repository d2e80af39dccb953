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
import org.banyanhook.daemon.duty.Duty;
import org.banyanhook.daemon.duty.DutyReports;
import org.jspecify.annotations.Nullable;

/**
 * Holds the transactions whose home is this entry VM.
 *
 * <p>Each owns one connection from its begin to its end, on which nothing else is ever sent. The registry and the
 * connections belong to one duty thread. Safe for use by several threads.
 */
public final class LocalTransactionExecutor implements TransactionExecutor, AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(LocalTransactionExecutor.class);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration LIFETIME = Duration.ofSeconds(60);
    private static final Duration MEMORY = Duration.ofMinutes(5);
    private static final Duration TICK = Duration.ofMillis(100);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final int NONCE_BYTES = 16;

    private final String entryVm;
    private final long incarnation;
    private final LocalStatementExecutor statements;
    private final SecureRandom random = new SecureRandom();
    private final TransactionRegistry registry =
            new TransactionRegistry(IDLE_TIMEOUT.toNanos(), LIFETIME.toNanos(), MEMORY.toNanos());
    private final Map<TransactionId, OpenTransaction> open = new HashMap<>();
    private final DutyReports reports = new DutyReports();
    private final Duty duty;
    private volatile int openCount;

    /**
     * Creates an executor and starts its duty thread.
     *
     * @param entryVm the name of this entry VM
     * @param incarnation the incarnation of this daemon, another one after each start
     * @param statements gives members, connections and confirmations
     */
    public LocalTransactionExecutor(String entryVm, long incarnation, LocalStatementExecutor statements) {
        this.entryVm = requireNonNull(entryVm, "entryVm");
        this.incarnation = incarnation;
        this.statements = requireNonNull(statements, "statements");
        this.duty = Duty.builder("transactions").tick(TICK, this::expire).start();
    }

    /** Returns how many transactions have not ended. */
    public int openCount() {
        return openCount;
    }

    @Override
    public CompletableFuture<TransactionOutcome> execute(TransactionCommand command) {
        return command.step() == TransactionStep.BEGIN ? begin(command) : step(command);
    }

    @Override
    public void close() {
        duty.submit(() ->
                open.values().forEach(transaction -> transaction.connection().discard()));
        duty.close();
    }

    private CompletableFuture<TransactionOutcome> begin(TransactionCommand command) {
        Database database;
        try {
            database = statements.chooser().database(command.database());
        } catch (RefusalException refusal) {
            return CompletableFuture.failedFuture(refusal);
        }
        int limit = Math.max(1, statements.connectionShare(database) / 2);
        return onDuty(() -> registry.openCount(database.name()) < limit)
                .thenCompose(room -> room
                        ? new TransactionBegin(statements, command, database).start()
                        : CompletableFuture.failedFuture(tooMany(database, limit)))
                .thenCompose(transaction -> register(command, transaction));
    }

    private CompletableFuture<TransactionOutcome> register(TransactionCommand command, OpenTransaction transaction) {
        byte[] nonce = new byte[NONCE_BYTES];
        random.nextBytes(nonce);
        TransactionId id = new TransactionId(
                entryVm, incarnation, command.database(), BaseEncoding.base16().encode(nonce));
        CompletableFuture<TransactionOutcome> result = onDuty(() -> {
            registry.open(id, command.account(), System.nanoTime());
            open.put(id, transaction);
            openCount = registry.openCount();
            return new TransactionOutcome(id, TransactionStepExecution.emptyOutcome(command, transaction));
        });
        return result.whenComplete((outcome, failure) -> {
            if (failure != null) {
                transaction.connection().discard();
            }
        });
    }

    private CompletableFuture<TransactionOutcome> step(TransactionCommand command) {
        TransactionId id = command.transaction();
        return onDuty(() -> start(command)).thenCompose(started -> {
            OpenTransaction transaction = started.transaction();
            if (transaction == null) {
                return CompletableFuture.failedFuture(refusal(started.decision()));
            }
            TransactionStepExecution run = new TransactionStepExecution(statements, command, transaction);
            return run.start()
                    .whenComplete((outcome, failure) -> finish(id, transaction, run.effect()))
                    .thenApply(outcome -> new TransactionOutcome(id, outcome));
        });
    }

    private StartedStep start(TransactionCommand command) {
        StepDecision decision =
                registry.startStep(command.transaction(), command.account(), command.step(), System.nanoTime());
        boolean runs = decision == StepDecision.RUN;
        return new StartedStep(decision, runs ? open.get(command.transaction()) : null);
    }

    private record StartedStep(
            StepDecision decision, @Nullable OpenTransaction transaction) {}

    /** Notes how a step ended; closes the connection or gives it back if the transaction ended with it. */
    private void finish(TransactionId id, OpenTransaction transaction, TransactionStepExecution.Effect ending) {
        reports.add(duty, () -> {
            switch (ending) {
                case REMAINS_OPEN -> registry.continueAfterStep(id, System.nanoTime());
                case ROLLED_BACK -> end(id, false);
                default -> end(id, true);
            }
        });
        if (ending != TransactionStepExecution.Effect.REMAINS_OPEN) {
            transaction.connection().release();
        }
    }

    private void end(TransactionId id, boolean commitMaybeSent) {
        registry.end(id, commitMaybeSent, System.nanoTime());
        open.remove(id);
        openCount = registry.openCount();
    }

    private void expire() {
        reports.takeAll();
        for (TransactionId id : registry.expire(System.nanoTime())) {
            OpenTransaction transaction = open.remove(id);
            if (transaction != null) {
                LOGGER.info("a transaction on database {} waited too long and is rolled back", id.database());
                transaction.connection().discard();
            }
        }
        openCount = registry.openCount();
    }

    private <T> CompletableFuture<T> onDuty(Supplier<T> computation) {
        CompletableFuture<T> result = new CompletableFuture<>();
        boolean taken = duty.submit(() -> {
            reports.takeAll();
            result.completeAsync(computation, Runnable::run);
        });
        if (!taken) {
            result.completeExceptionally(RefusalException.builder(RefusalKind.QUEUE_FULL)
                    .detail("This entry VM has too many transaction requests in its queue.")
                    .retryAfter(RETRY_AFTER)
                    .build());
        }
        return result;
    }

    private static RefusalException tooMany(Database database, int limit) {
        return RefusalException.builder(RefusalKind.QUEUE_FULL)
                .detail("This home holds as many transactions on database " + database.name() + " as it may: " + limit
                        + ".")
                .retryAfter(RETRY_AFTER)
                .build();
    }

    private static RefusalException refusal(StepDecision decision) {
        RefusalKind kind = decision.refusal().orElse(RefusalKind.TRANSACTION_LOST);
        Execution execution = decision.execution();
        return RefusalException.builder(kind)
                .execution(execution)
                .detail("The transaction cannot take this step: " + decision + ".")
                .build();
    }
}
