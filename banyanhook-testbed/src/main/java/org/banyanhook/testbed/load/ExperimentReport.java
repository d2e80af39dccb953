package org.banyanhook.testbed.load;

import java.util.List;

/**
 * The figures of one run with what is needed to repeat it.
 *
 * @param commit the commit of the working tree, with {@code +changes} if it has uncommitted ones
 * @param scenario the name of the scenario
 * @param fault what was done to the fleet
 * @param baseline how requests reached the databases
 * @param seed the seed of the load
 * @param entryVmsPerDomain daemons in each failure domain
 * @param durationMillis how long the load ran
 * @param figures what was measured
 */
record ExperimentReport(
        String commit,
        String scenario,
        String fault,
        String baseline,
        long seed,
        int entryVmsPerDomain,
        long durationMillis,
        Figures figures) {

    String table() {
        StringBuilder text = new StringBuilder();
        line(text, "commit %s, scenario %s, fault %s, baseline %s, seed %d", commit, scenario, fault, baseline, seed);
        line(text, "%d daemons in each failure domain, %d s", entryVmsPerDomain, durationMillis / 1000);
        line(text, "reads served by replicas      %.1f%% of %d", 100 * figures.replicaShare(), figures.reads());
        line(text, "stale reads                   %d", figures.staleReads());
        line(text, "refused although within rate  %d of %d", figures.refusedWithinRate(), figures.offeredWithinRate());
        LogChecker.Result log = figures.log();
        line(text, "acknowledged writes           %d", log.acknowledgedWrites());
        line(text, "  lost                        %d", log.lostWrites());
        line(text, "  run twice                   %d", log.repeatedWrites());
        line(text, "failover gaps in ms           %s", figures.failoverGapsMillis());
        line(text, "refusals                      %s", figures.refusals());
        line(text, "client account      offered  within  success  p50 ms  p99 ms (worst served first)");
        for (Figures.AccountFigures account : figures.accounts()) {
            line(
                    text,
                    "%-18s  %7d  %6d  %6.2f%%  %6.1f  %6.1f",
                    account.account(),
                    account.offered(),
                    account.withinRate(),
                    100 * account.successShare(),
                    account.medianMillis(),
                    account.highMillis());
        }
        return text.toString();
    }

    static long median(List<Long> values) {
        List<Long> sorted = values.stream().sorted().toList();
        return sorted.get(sorted.size() / 2);
    }

    private static void line(StringBuilder text, String format, Object... values) {
        text.append(String.format(format, values)).append(System.lineSeparator());
    }
}
