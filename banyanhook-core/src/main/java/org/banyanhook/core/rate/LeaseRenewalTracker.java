package org.banyanhook.core.rate;

import java.util.HashMap;
import java.util.Map;

/**
 * What one entry VM grants and witnesses about the other holders of its failure domain.
 *
 * <p>It lets a holder go on only if the record that it read itself from the platform, in this life, has that holder
 * without a mark. It witnesses silence only of a holder that its record has marked, so it grants nothing afterwards.
 * Not safe for use by several threads.
 */
final class LeaseRenewalTracker {

    private final long startNanos;
    private final Map<Holder, Long> lastRenewalNanos = new HashMap<>();

    private record Holder(String name, long incarnation) {}

    LeaseRenewalTracker(long startNanos) {
        this.startNanos = startNanos;
    }

    /** Answers a holder that asks whether it may go on. */
    boolean tryRenew(AllotmentRecord record, String holder, long incarnation, long nowNanos) {
        boolean unmarked = record.entry(holder, incarnation)
                .filter(entry -> entry.mark() == null)
                .isPresent();
        if (unmarked) {
            lastRenewalNanos.put(new Holder(holder, incarnation), nowNanos);
        }
        return unmarked;
    }

    /**
     * Returns for how long nothing was granted to a holder, or a negative number if that cannot be witnessed. Grants of
     * an earlier process under this name are covered by counting from the start of this one.
     */
    long nanosSinceLastRenewal(AllotmentRecord record, String holder, long incarnation, long nowNanos) {
        boolean marked = record.entry(holder, incarnation)
                .filter(entry -> entry.mark() != null)
                .isPresent();
        if (!marked) {
            return -1;
        }
        return nowNanos - lastRenewalNanos.getOrDefault(new Holder(holder, incarnation), startNanos);
    }

    /** Forgets holders that are no longer in the record. */
    void retain(AllotmentRecord record) {
        lastRenewalNanos
                .keySet()
                .removeIf(holder ->
                        record.entry(holder.name(), holder.incarnation()).isEmpty());
    }
}
