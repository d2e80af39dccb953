package org.banyanhook.testbed.backend;

import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/** The faults and costs that a backend server stand-in plays. Safe for use by several threads. */
public final class BackendFaults {

    private volatile long replicationLagMillis;
    private volatile long statementMicros;
    private volatile long connectionCostMillis;
    private volatile boolean isolated;
    private volatile CompletableFuture<Void> thawed = CompletableFuture.completedFuture(null);

    /**
     * A change of some faults; a null field leaves its fault as it is.
     *
     * @param replicationLagMillis how old an entry is before this member takes it over from its primary
     * @param statementMillis how long a statement takes its slot, in milliseconds
     * @param connectionCostMillis how long after its opening a connection serves its first statement
     * @param frozen true to hold every call and answer until it is false again, as a paused process does
     * @param isolated true to close every connection without an answer and to stop replication
     */
    public record Change(
            @Nullable Long replicationLagMillis,
            @Nullable Double statementMillis,
            @Nullable Long connectionCostMillis,
            @Nullable Boolean frozen,
            @Nullable Boolean isolated) {

        /** Returns a change that only freezes or thaws the member. */
        public static Change frozen(boolean value) {
            return new Change(null, null, null, value, null);
        }

        /** Returns a change that only isolates the member or joins it again. */
        public static Change isolated(boolean value) {
            return new Change(null, null, null, null, value);
        }

        /** Returns a change that only sets the lag of replication. */
        public static Change replicationLagMillis(long value) {
            return new Change(value, null, null, null, null);
        }
    }

    synchronized void apply(Change change) {
        if (change.replicationLagMillis() != null) {
            replicationLagMillis = change.replicationLagMillis();
        }
        if (change.statementMillis() != null) {
            statementMicros = Math.round(change.statementMillis() * 1000);
        }
        if (change.connectionCostMillis() != null) {
            connectionCostMillis = change.connectionCostMillis();
        }
        if (change.isolated() != null) {
            isolated = change.isolated();
        }
        if (change.frozen() != null) {
            freeze(change.frozen());
        }
    }

    private void freeze(boolean frozen) {
        if (!frozen) {
            thawed.completeAsync(() -> null);
        } else if (thawed.isDone()) {
            thawed = new CompletableFuture<>();
        }
    }

    long replicationLagMillis() {
        return replicationLagMillis;
    }

    long statementMicros() {
        return statementMicros;
    }

    long connectionCostMillis() {
        return connectionCostMillis;
    }

    boolean isolated() {
        return isolated;
    }

    /** Returns a future that is complete while the member is not frozen. */
    CompletableFuture<Void> thawed() {
        return thawed;
    }
}
