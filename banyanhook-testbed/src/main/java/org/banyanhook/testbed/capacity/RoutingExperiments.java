package org.banyanhook.testbed.capacity;

import java.util.List;
import java.util.stream.IntStream;
import org.banyanhook.core.admission.FairQueue;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.key.KeyRegistry;
import org.banyanhook.core.routing.HomeCandidate;
import org.banyanhook.core.routing.HomePlacement;

/** What finding the home of a database, checking a key and queueing cost. */
final class RoutingExperiments {

    private static final double STATEMENTS_PER_DAEMON =
            FleetShapes.TARGET_STATEMENTS_PER_SECOND / FleetShapes.TARGET_ENTRY_VMS;
    private static final int DATABASES = 500;

    private RoutingExperiments() {}

    static List<Experiment> all() {
        return List.of(homes(), keys(), queue());
    }

    private static Experiment homes() {
        return new Experiment(
                "home of a database's connections",
                "choose the homes of one database",
                "entry VMs",
                List.of(250, 500, 1_000, 2_000),
                FleetShapes.TARGET_ENTRY_VMS,
                STATEMENTS_PER_DAEMON,
                (size, seed) -> {
                    List<HomeCandidate> candidates = IntStream.range(0, size)
                            .mapToObj(number ->
                                    new HomeCandidate(FleetShapes.entryVm(number), FleetShapes.failureDomain(number)))
                            .toList();
                    HomePlacement placement = HomePlacement.of(candidates);
                    return round -> placement
                                    .homes(FleetShapes.database(round % DATABASES), HomePlacement.HOMES_PER_DATABASE)
                                    .isEmpty()
                            ? 1
                            : 0;
                });
    }

    private static Experiment keys() {
        return new Experiment(
                "serving callers",
                "find the client account of a key",
                "client accounts",
                List.of(100, 400, 1_600),
                1_600,
                STATEMENTS_PER_DAEMON,
                (size, seed) -> {
                    KeyRegistry registry = KeyRegistry.of(FleetShapes.configuration(3, size));
                    return round -> lookUp(registry, round % size + "-first");
                });
    }

    private static long lookUp(KeyRegistry registry, String key) {
        try {
            return registry.accountOf(key).keys().size() > 2 ? 1 : 0;
        } catch (RefusalException refusal) {
            throw new IllegalStateException("the fleet's own key was refused", refusal);
        }
    }

    private static Experiment queue() {
        return new Experiment(
                "home of a database's connections",
                "queue one statement and take the next",
                "client accounts waiting",
                List.of(8, 64, 256),
                256,
                STATEMENTS_PER_DAEMON,
                (size, seed) -> {
                    FairQueue<Integer> queue = new FairQueue<>(size * 4, 4);
                    for (int number = 0; number < size * 2; number++) {
                        queue.offer(FleetShapes.account(number % size), 1, number, Long.MAX_VALUE / 2, 0);
                    }
                    return round -> {
                        queue.offer(FleetShapes.account(round % size), 1, round, Long.MAX_VALUE / 2, round);
                        return queue.poll(round).isPresent() ? 0 : 1;
                    };
                });
    }
}
