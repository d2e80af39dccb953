package org.banyanhook.testbed.capacity;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.banyanhook.core.rate.FleetRateLimiter;

/** What holding allotments costs. */
final class RateExperiments {

    private static final double TICKS_PER_SECOND = 50;
    private static final long TICK_NANOS = 20_000_000;
    private static final long WAIT_NANOS = 200_000_000;
    private static final int REQUESTS_PER_TICK = 16;
    private static final int TARGET_ACCOUNTS = 1_600;

    private RateExperiments() {}

    static List<Experiment> all() {
        return List.of(new Experiment(
                "holder of allotments",
                "a tick with 16 requests that wait for tokens",
                "client accounts",
                List.of(100, 400, 1_600),
                TARGET_ACCOUNTS,
                TICKS_PER_SECOND,
                (size, seed) -> {
                    FleetRateLimiter node = newNode(size);
                    return round -> tick(node, size, round);
                }));
    }

    private static FleetRateLimiter newNode(int accounts) {
        FleetRateLimiter node = FleetRateLimiter.builder(FleetShapes.entryVm(0), FleetShapes.failureDomain(0), 1)
                .build(0);
        node.configure(FleetShapes.configuration(3, accounts), 0);
        Map<String, List<String>> running = IntStream.range(0, FleetShapes.TARGET_ENTRY_VMS)
                .boxed()
                .collect(Collectors.groupingBy(
                        FleetShapes::failureDomain, Collectors.mapping(FleetShapes::entryVm, Collectors.toList())));
        node.setRunningEntryVms(running);
        return node;
    }

    private static long tick(FleetRateLimiter node, int accounts, int round) {
        long now = (round + 1) * TICK_NANOS;
        for (int request = 0; request < REQUESTS_PER_TICK; request++) {
            int waiter = round * REQUESTS_PER_TICK + request;
            node.acquire(FleetShapes.account(waiter % accounts), waiter, now + WAIT_NANOS, now);
        }
        node.onTokenTick(now);
        return 0;
    }
}
