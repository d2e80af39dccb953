package org.banyanhook.testbed.load;

import java.util.List;
import java.util.Map;

/**
 * What one experiment measured.
 *
 * @param reads successful reads
 * @param replicaShare the share of them that replicas served
 * @param staleReads reads that missed a write which their session had seen acknowledged
 * @param failoverGapsMillis for each primary killed, the longest time without an acknowledged write on its database
 * @param accounts each client account, the worst served first
 * @param refusedWithinRate requests refused for their rate although the account was within it
 * @param offeredWithinRate requests that were within the rate
 * @param refusals how many requests ended with each kind of refusal
 * @param successesPerSecond successful requests of each second, by the time of the answer
 * @param offeredPerSecond offered requests of each second, by the time that they were due
 * @param log the check of the logs
 */
record Figures(
        long reads,
        double replicaShare,
        long staleReads,
        List<Long> failoverGapsMillis,
        List<AccountFigures> accounts,
        long refusedWithinRate,
        long offeredWithinRate,
        Map<String, Long> refusals,
        List<Long> successesPerSecond,
        List<Long> offeredPerSecond,
        LogChecker.Result log) {

    /**
     * How one client account was served.
     *
     * @param account its name
     * @param offered requests offered
     * @param withinRate requests within the rate
     * @param successShare the share of the requests within the rate that succeeded
     * @param medianMillis the median latency of successes
     * @param highMillis the 99th percentile of the latency of successes
     */
    record AccountFigures(
            String account,
            long offered,
            long withinRate,
            double successShare,
            double medianMillis,
            double highMillis) {}
}
