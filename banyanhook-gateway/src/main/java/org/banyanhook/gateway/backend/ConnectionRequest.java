package org.banyanhook.gateway.backend;

import java.util.HashSet;
import java.util.Set;
import org.banyanhook.core.replication.LogPosition;
import org.jspecify.annotations.Nullable;

/** A statement or the start of a transaction that needs a connection to a member. Used on the event loop only. */
public final class ConnectionRequest {

    private final String account;
    private final int weight;
    private final Requirements requirements;
    private final long arrivedNanos;
    private final long deadlineNanos;
    private final ConnectionRequestListener listener;
    private final Set<String> excluded = new HashSet<>();
    private boolean cancelled;

    /**
     * What the work demands of a member.
     *
     * @param primaryOnly whether only the primary can run it
     * @param maximumAgeNanos the age that the data may have, where a replica can run it
     * @param sessionPosition the place that the session must see, or null for none
     * @param regions the regions whose members may run it; empty for all
     */
    public record Requirements(
            boolean primaryOnly,
            long maximumAgeNanos,
            @Nullable LogPosition sessionPosition,
            Set<String> regions) {
        public Requirements {
            regions = Set.copyOf(regions);
        }
    }

    /**
     * Describes a piece of work.
     *
     * @param account the client account
     * @param weight the account's share of the queue
     * @param requirements what it demands of a member
     * @param arrivedNanos when the caller asked
     * @param deadlineNanos until when it may wait
     * @param listener takes what became of it
     */
    public ConnectionRequest(
            String account,
            int weight,
            Requirements requirements,
            long arrivedNanos,
            long deadlineNanos,
            ConnectionRequestListener listener) {
        this.account = account;
        this.weight = weight;
        this.requirements = requirements;
        this.arrivedNanos = arrivedNanos;
        this.deadlineNanos = deadlineNanos;
        this.listener = listener;
    }

    /** Keeps the work off a member that could not run it. */
    public void exclude(String member) {
        excluded.add(member);
    }

    /** Gives the work up; its listener is not called any more. */
    public void cancel() {
        cancelled = true;
    }

    boolean isCancelled() {
        return cancelled;
    }

    String account() {
        return account;
    }

    int weight() {
        return weight;
    }

    Requirements requirements() {
        return requirements;
    }

    long arrivedNanos() {
        return arrivedNanos;
    }

    long deadlineNanos() {
        return deadlineNanos;
    }

    ConnectionRequestListener listener() {
        return listener;
    }

    boolean excludes(String member) {
        return excluded.contains(member);
    }
}
