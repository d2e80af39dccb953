package org.banyanhook.testbed.capacity;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.banyanhook.core.configuration.BackendServer;
import org.banyanhook.core.configuration.Database;
import org.banyanhook.core.primary.GroupView;
import org.banyanhook.core.primary.MemberObservation;
import org.banyanhook.core.primary.MemberRole;
import org.banyanhook.core.primary.MemberStatus;
import org.banyanhook.core.primary.PrimaryFailureDetector;
import org.banyanhook.core.primary.ProposerContext;
import org.banyanhook.core.primary.ProposerRanking;
import org.banyanhook.core.replication.LogPosition;

/** What proposing primaries costs. */
final class PrimaryExperiments {

    /** Entry VMs whose death, start or replacement changes the ranking, a second: 24 + 1,500 a day, twice each. */
    private static final double RANKINGS_PER_SECOND = 2 * 1_524 / 86_400.0;

    private static final double STATUS_READS_PER_DATABASE_SECOND = 4;

    private PrimaryExperiments() {}

    static List<Experiment> all() {
        return List.of(ranking(), statusRead());
    }

    private static Experiment ranking() {
        return new Experiment(
                "proposer of promotions",
                "rank this daemon for all 4,200 databases",
                "entry VMs",
                List.of(100, 250, 500, 1_000),
                FleetShapes.TARGET_ENTRY_VMS,
                RANKINGS_PER_SECOND,
                (size, seed) -> {
                    Map<String, String> failureDomains = IntStream.range(0, size)
                            .boxed()
                            .collect(Collectors.toMap(FleetShapes::entryVm, FleetShapes::failureDomain));
                    return round -> rankAll(failureDomains);
                });
    }

    private static int ceilingOf(int dividend, int divisor) {
        return (dividend + divisor - 1) / divisor;
    }

    private static long rankAll(Map<String, String> failureDomains) {
        ProposerRanking ranking = ProposerRanking.of(failureDomains);
        int ranked = 0;
        for (int number = 0; number < FleetShapes.TARGET_DATABASES; number++) {
            if (ranking.rank(FleetShapes.database(number), FleetShapes.entryVm(0)) >= 0) {
                ranked++;
            }
        }
        return ranked > FleetShapes.TARGET_DATABASES ? 1 : 0;
    }

    private static Experiment statusRead() {
        int databasesPerDaemon = ceilingOf(
                FleetShapes.TARGET_DATABASES * ProposerRanking.MAXIMUM_CANDIDATES, FleetShapes.TARGET_ENTRY_VMS);
        return new Experiment(
                "proposer of promotions",
                "take in a status read and decide",
                "databases watched",
                List.of(4, 16, 64),
                databasesPerDaemon,
                databasesPerDaemon * STATUS_READS_PER_DATABASE_SECOND,
                (size, seed) -> {
                    Watched watched = new Watched(size);
                    return watched::readOne;
                });
    }

    /** The groups that one daemon watches. */
    private static final class Watched {
        private static final long READ_INTERVAL_NANOS = 1_000_000;

        private final List<GroupView> views = new ArrayList<>();
        private final List<PrimaryFailureDetector> suspicions = new ArrayList<>();
        private final ProposerContext position;

        Watched(int databases) {
            ImmutableMap.Builder<String, String> peers = ImmutableMap.builder();
            for (int number = 1; number < FleetShapes.TARGET_ENTRY_VMS; number++) {
                peers.put(FleetShapes.entryVm(number), FleetShapes.failureDomain(number));
            }
            position = new ProposerContext(0, FleetShapes.failureDomain(0), peers.buildOrThrow());
            for (int number = 0; number < databases; number++) {
                views.add(new GroupView(FleetShapes.databaseGroup(number), Map.of()));
                suspicions.add(new PrimaryFailureDetector());
            }
        }

        long readOne(int round) {
            int number = round % views.size();
            Database database = views.get(number).database();
            int index = round / views.size() % database.members().size();
            long now = round * READ_INTERVAL_NANOS;
            GroupView view = views.get(number).with(new MemberObservation(status(database, index, round), now));
            views.set(number, view);
            suspicions.get(number).onOutcome(database.members().get(index).name(), true, now);
            return suspicions.get(number).decide(view, position, now).reason().isEmpty() ? 1 : 0;
        }

        private static MemberStatus status(Database database, int index, int round) {
            BackendServer server = database.members().get(index);
            MemberRole role = index == 0 ? MemberRole.PRIMARY : MemberRole.REPLICA;
            String primary = database.members().get(0).name();
            return new MemberStatus(server.name(), 3, role, new LogPosition(3, round), primary, 4);
        }
    }
}
