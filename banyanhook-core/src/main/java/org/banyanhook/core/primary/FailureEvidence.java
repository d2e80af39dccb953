package org.banyanhook.core.primary;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Reports of peers about whether they reach a primary. Each failure domain counts once, so that several entry VMs
 * behind one network fault do not outvote the others. Not thread-safe.
 */
public final class FailureEvidence {

    private static final long MAXIMUM_REPORT_AGE_NANOS = 4_000_000_000L;

    private final Map<String, PeerReport> reports = new HashMap<>();

    /**
     * Records the report of a peer.
     *
     * @param peer the name of the entry VM
     * @param failureDomain the failure domain in which it runs
     * @param unreachable true if the peer does not reach the primary
     * @param nowNanos the reading of the monotonic clock
     */
    public void record(String peer, String failureDomain, boolean unreachable, long nowNanos) {
        reports.put(peer, new PeerReport(failureDomain, unreachable, nowNanos));
    }

    /** Removes all reports, for example after a change of primary. */
    public void clear() {
        reports.clear();
    }

    /**
     * Counts the failure domains on each side, each by the majority of its recent reports.
     *
     * @param ownFailureDomain the failure domain of the observer, which does not reach the primary itself
     * @param nowNanos the reading of the monotonic clock
     * @return the counts
     */
    public DomainTally count(String ownFailureDomain, long nowNanos) {
        Map<String, Integer> balances = new TreeMap<>();
        balances.put(ownFailureDomain, 1);
        boolean ownPeerAgrees = false;
        for (PeerReport report : reports.values()) {
            if (nowNanos - report.recordedNanos() <= MAXIMUM_REPORT_AGE_NANOS) {
                balances.merge(report.failureDomain(), report.unreachable() ? 1 : -1, Integer::sum);
                ownPeerAgrees |= report.unreachable() && report.failureDomain().equals(ownFailureDomain);
            }
        }
        int unreachable = 0;
        int reachable = 0;
        boolean otherDomainAgrees = false;
        for (Map.Entry<String, Integer> balance : balances.entrySet()) {
            boolean otherDomain = !balance.getKey().equals(ownFailureDomain);
            unreachable += balance.getValue() > 0 ? 1 : 0;
            reachable += balance.getValue() < 0 ? 1 : 0;
            otherDomainAgrees |= otherDomain && balance.getValue() > 0;
        }
        return new DomainTally(unreachable, reachable, otherDomainAgrees, ownPeerAgrees);
    }

    /**
     * The number of failure domains on each side.
     *
     * @param unreachable the number of failure domains that do not reach the primary
     * @param reachable the number of failure domains that reach it
     * @param otherDomainAgrees true if a failure domain other than the observer's does not reach it
     * @param ownPeerAgrees true if a peer in the observer's failure domain does not reach it
     */
    public record DomainTally(int unreachable, int reachable, boolean otherDomainAgrees, boolean ownPeerAgrees) {

        /** Returns whether more failure domains fail to reach the primary than reach it. */
        boolean majorityUnreachable() {
            return unreachable > reachable;
        }
    }

    private record PeerReport(String failureDomain, boolean unreachable, long recordedNanos) {}
}
