package org.banyanhook.core.rate;

import java.util.HashMap;
import java.util.Map;

/**
 * Renews the allotment leases of the other holders in the failure domain, and records when it last did so.
 *
 * <p>A lease is renewed only if the record that this process itself read from the platform contains the holder without
 * a mark. The time since the last renewal is reported only for a holder that this record marks, so that no renewal
 * follows the report. Not safe for use by several threads.
 */
final class LeaseRenewalTracker {

    private final long startNanos;
    private final Map<Holder, Long> lastRenewalNanos = new HashMap<>();

    private record Holder(String name, long incarnation) {}

    LeaseRenewalTracker(long startNanos) {
        this.startNanos = startNanos;
    }

    /** Renews the lease of a holder that the record contains without a mark; returns whether it did. */
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
     * Returns the time since the last renewal of a holder's lease, or a negative number if the record does not mark the
     * holder. Without a renewal the time counts from the start of this process, which covers renewals that an earlier
     * process of this entry VM granted.
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

    /** Removes holders that are no longer in the record. */
    void retain(AllotmentRecord record) {
        lastRenewalNanos
                .keySet()
                .removeIf(holder ->
                        record.entry(holder.name(), holder.incarnation()).isEmpty());
    }
}
