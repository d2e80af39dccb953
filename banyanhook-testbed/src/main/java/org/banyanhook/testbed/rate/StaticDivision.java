package org.banyanhook.testbed.rate;

import java.util.HashMap;
import java.util.Map;
import org.banyanhook.core.configuration.FleetConfiguration;

/** Baseline: every entry VM has an equal, fixed part of each rate and burst. */
final class StaticDivision implements RateStrategy {

    private final Map<String, WindowChecker> buckets = new HashMap<>();

    StaticDivision(FleetConfiguration configuration, int entryVms) {
        configuration.accounts().forEach(account -> {
            for (int entryVm = 0; entryVm < entryVms; entryVm++) {
                double burst = Math.max(1, account.burst() / entryVms);
                buckets.put(entryVm + account.name(), new WindowChecker(account.ratePerSecond() / entryVms, burst));
            }
        });
    }

    @Override
    public boolean accept(int entryVm, String account, long nowNanos) {
        WindowChecker bucket = buckets.get(entryVm + account);
        if (bucket == null || !bucket.wouldAccept(nowNanos)) {
            return false;
        }
        bucket.accepted(nowNanos);
        return true;
    }
}
