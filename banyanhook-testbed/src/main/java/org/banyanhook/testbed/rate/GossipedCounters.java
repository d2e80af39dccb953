package org.banyanhook.testbed.rate;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiPredicate;
import org.banyanhook.core.configuration.FleetConfiguration;

/** Baseline: every entry VM counts what it accepted, tells the others once a second, and decides by what it knows. */
final class GossipedCounters implements RateStrategy {

    private static final long GOSSIP_NANOS = 1_000_000_000;

    private final int entryVms;
    private final Map<String, WindowChecker> views = new HashMap<>();
    private final Map<String, Long> accepted = new HashMap<>();
    private final Map<String, Long> known = new HashMap<>();

    GossipedCounters(
            FleetConfiguration configuration, int entryVms, EventQueue queue, BiPredicate<Integer, Integer> reaches) {
        this.entryVms = entryVms;
        configuration.accounts().forEach(account -> {
            for (int entryVm = 0; entryVm < entryVms; entryVm++) {
                views.put(entryVm + account.name(), new WindowChecker(account.ratePerSecond(), account.burst()));
            }
            queue.every(GOSSIP_NANOS, () -> gossip(account.name(), queue.nowNanos(), reaches));
        });
    }

    @Override
    public boolean accept(int entryVm, String account, long nowNanos) {
        WindowChecker view = views.get(entryVm + account);
        if (view == null || !view.wouldAccept(nowNanos)) {
            return false;
        }
        view.accepted(nowNanos);
        accepted.merge(entryVm + account, 1L, Long::sum);
        return true;
    }

    private void gossip(String account, long nowNanos, BiPredicate<Integer, Integer> reaches) {
        for (int from = 0; from < entryVms; from++) {
            long total = accepted.getOrDefault(from + account, 0L);
            for (int to = 0; to < entryVms; to++) {
                WindowChecker view = views.get(to + account);
                if (from != to && view != null && reaches.test(from, to)) {
                    Long before = known.put(from + ">" + to + account, total);
                    for (long count = before == null ? 0 : before; count < total; count++) {
                        view.accepted(nowNanos);
                    }
                }
            }
        }
    }
}
