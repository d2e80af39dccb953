package org.banyanhook.core.transaction;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The transactions of one home: the owner of each, whether a step is running, and how it ended.
 *
 * <p>At most one step of a transaction runs at a time. An ended transaction is retained for a while, so that a step
 * that arrives late is answered correctly. Not thread-safe; times are nanoseconds of one monotonic clock.
 */
public final class TransactionRegistry {

    private final long idleTimeoutNanos;
    private final long lifetimeNanos;
    private final long retentionNanos;
    private final Map<TransactionId, Entry> entries = new HashMap<>();

    /**
     * Creates an empty registry.
     *
     * @param idleTimeoutNanos the maximum time that a transaction waits for its next step
     * @param lifetimeNanos the maximum duration of a transaction
     * @param retentionNanos the time for which an ended transaction is retained
     */
    public TransactionRegistry(long idleTimeoutNanos, long lifetimeNanos, long retentionNanos) {
        checkArgument(idleTimeoutNanos > 0, "idleTimeoutNanos must be positive, was %s", idleTimeoutNanos);
        checkArgument(lifetimeNanos > 0, "lifetimeNanos must be positive, was %s", lifetimeNanos);
        checkArgument(retentionNanos > 0, "retentionNanos must be positive, was %s", retentionNanos);
        this.idleTimeoutNanos = idleTimeoutNanos;
        this.lifetimeNanos = lifetimeNanos;
        this.retentionNanos = retentionNanos;
    }

    private enum Phase {
        IDLE,
        RUNNING,
        COMMITTING,
        ROLLED_BACK,
        COMMIT_SENT
    }

    /** Returns the number of transactions that have not ended. */
    public int openCount() {
        return (int) entries.values().stream().filter(Entry::isOpen).count();
    }

    /**
     * Returns the number of transactions of a database that have not ended.
     *
     * @param database the name of the database
     */
    public int openCount(String database) {
        return (int) entries.entrySet().stream()
                .filter(entry -> entry.getKey().database().equals(database))
                .filter(entry -> entry.getValue().isOpen())
                .count();
    }

    /**
     * Adds a transaction that has begun and waits for its first statement.
     *
     * @param id the id, never used before
     * @param account the client account that owns the transaction
     * @param nowNanos the time
     */
    public void open(TransactionId id, String account, long nowNanos) {
        checkArgument(!entries.containsKey(id), "the transaction was already opened");
        entries.put(id, new Entry(account, nowNanos));
    }

    /**
     * Decides whether a step may run and, if so, marks the transaction as busy.
     *
     * @param id the transaction
     * @param account the client account whose key came with the request
     * @param step the step, not {@code BEGIN}
     * @param nowNanos the time
     * @return the decision
     */
    public StepDecision startStep(TransactionId id, String account, TransactionStep step, long nowNanos) {
        checkArgument(step != TransactionStep.BEGIN, "BEGIN opens a transaction and is not a step of an open one");
        Entry entry = entries.get(id);
        if (entry == null) {
            return step == TransactionStep.COMMIT ? StepDecision.COMMIT_MAYBE_SENT : StepDecision.ROLLED_BACK;
        }
        if (!entry.account.equals(account)) {
            return StepDecision.UNKNOWN;
        }
        return switch (entry.phase) {
            case RUNNING, COMMITTING -> StepDecision.BUSY;
            case ROLLED_BACK -> StepDecision.ROLLED_BACK;
            case COMMIT_SENT -> StepDecision.COMMIT_MAYBE_SENT;
            case IDLE -> {
                entry.phase = step == TransactionStep.COMMIT ? Phase.COMMITTING : Phase.RUNNING;
                entry.phaseChangedNanos = nowNanos;
                yield StepDecision.RUN;
            }
        };
    }

    /**
     * Records that a step ended and the transaction continues.
     *
     * @param id the transaction, busy with the step
     * @param nowNanos the time
     */
    public void continueAfterStep(TransactionId id, long nowNanos) {
        completeStep(id, Phase.IDLE, nowNanos);
    }

    /**
     * Records that a transaction ended.
     *
     * @param id the transaction, busy with its last step
     * @param commitMaybeSent false if it is certain that no commit was sent, or that the database refused it
     * @param nowNanos the time
     */
    public void end(TransactionId id, boolean commitMaybeSent, long nowNanos) {
        completeStep(id, commitMaybeSent ? Phase.COMMIT_SENT : Phase.ROLLED_BACK, nowNanos);
    }

    /**
     * Ends the transactions that have exceeded the idle timeout or the lifetime and have no running step, and removes
     * ended transactions after their retention time.
     *
     * @param nowNanos the time
     * @return the expired transactions, whose connections must be closed
     */
    public List<TransactionId> expire(long nowNanos) {
        List<TransactionId> expired = new ArrayList<>();
        for (Map.Entry<TransactionId, Entry> candidate : entries.entrySet()) {
            if (isExpired(candidate.getValue(), nowNanos)) {
                expired.add(candidate.getKey());
                candidate.getValue().phase = Phase.ROLLED_BACK;
                candidate.getValue().phaseChangedNanos = nowNanos;
            }
        }
        entries.values().removeIf(entry -> !entry.isOpen() && nowNanos - entry.phaseChangedNanos >= retentionNanos);
        return ImmutableList.copyOf(expired);
    }

    private boolean isExpired(Entry entry, long nowNanos) {
        return entry.phase == Phase.IDLE
                && (nowNanos - entry.phaseChangedNanos >= idleTimeoutNanos
                        || nowNanos - entry.openedNanos >= lifetimeNanos);
    }

    private void completeStep(TransactionId id, Phase phase, long nowNanos) {
        Entry entry = entries.get(id);
        checkState(
                entry != null && (entry.phase == Phase.RUNNING || entry.phase == Phase.COMMITTING),
                "no step of the transaction is running");
        requireNonNull(entry).phase = phase;
        entry.phaseChangedNanos = nowNanos;
    }

    private static final class Entry {
        private final String account;
        private final long openedNanos;
        private long phaseChangedNanos;
        private Phase phase = Phase.IDLE;

        Entry(String account, long nowNanos) {
            this.account = account;
            this.openedNanos = nowNanos;
            this.phaseChangedNanos = nowNanos;
        }

        boolean isOpen() {
            return phase == Phase.IDLE || phase == Phase.RUNNING || phase == Phase.COMMITTING;
        }
    }
}
