package org.banyanhook.core.store;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.banyanhook.core.routing.RendezvousScores;

/**
 * Chooses the daemons of a failure domain that watch the store, and which of them another daemon asks for changes. A
 * daemon whose view of the fleet differs may choose others; answers are complete or refused whoever is asked. Not
 * thread-safe.
 */
public final class StoreReaders {

    /** The number of readers of a failure domain; more than one, so that a failed one is replaced without delay. */
    public static final int READERS_PER_FAILURE_DOMAIN = 2;

    /**
     * How long a reader holds a request until there is a change. Together with {@link #ANSWER_TIMEOUT} it bounds by how
     * much a dead or frozen reader delays a change.
     */
    public static final Duration MAXIMUM_HOLD = Duration.ofMillis(500);

    /** How long a daemon waits for a reader; leaves 400 ms for the answer of a busy one. */
    public static final Duration ANSWER_TIMEOUT = Duration.ofMillis(900);

    /**
     * How long the store may hold the watch of a reader, so that the reader knows that it still follows the store. Each
     * wait that ends without a change costs a call; with 400 ms the readers would make most calls of a fleet.
     */
    public static final Duration READER_WATCH_WAIT = Duration.ofSeconds(1);

    /** The maximum time between a change and a reader's next watch, by which changes reach other daemons later. */
    public static final Duration READER_COALESCE = Duration.ofMillis(400);

    /** A reader that refuses costs one exchange of messages. */
    private static final long REFUSED_AVOIDANCE_NANOS = Duration.ofSeconds(1).toNanos();

    /** A reader that does not answer costs {@link #ANSWER_TIMEOUT}. */
    private static final long SILENT_AVOIDANCE_NANOS = Duration.ofSeconds(5).toNanos();

    private static final long MAXIMUM_AVOIDANCE_NANOS = Duration.ofSeconds(40).toNanos();

    private final String entryVm;
    private final long entryVmHash;
    private final Map<String, Avoidance> avoided = new HashMap<>();

    private record Avoidance(long untilNanos, long durationNanos) {}

    /**
     * Creates the choice of a daemon.
     *
     * @param entryVm the name of its entry VM
     */
    public StoreReaders(String entryVm) {
        this.entryVm = entryVm;
        this.entryVmHash = RendezvousScores.nameHash(entryVm);
    }

    /**
     * Selects the readers of a failure domain.
     *
     * @param failureDomain the failure domain
     * @param entryVms the daemons of the failure domain, in any order
     * @return the readers in a fixed order; fewer than two if there are fewer daemons
     */
    public static List<String> select(String failureDomain, Collection<String> entryVms) {
        return byScore(RendezvousScores.nameHash("store-readers/" + failureDomain), entryVms).stream()
                .limit(READERS_PER_FAILURE_DOMAIN)
                .toList();
    }

    private static List<String> byScore(long keyHash, Collection<String> entryVms) {
        return entryVms.stream()
                .sorted(Comparator.comparingLong(
                                (String entryVm) -> RendezvousScores.score(keyHash, RendezvousScores.nameHash(entryVm)))
                        .reversed()
                        .thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    /**
     * Chooses the reader to ask. The daemons of a failure domain are divided between its readers.
     *
     * @param readers the readers of this daemon's failure domain
     * @param nowNanos the time
     * @return the reader, or empty if this daemon has to ask the store itself
     */
    public Optional<String> choose(List<String> readers, long nowNanos) {
        avoided.keySet().retainAll(readers);
        if (readers.contains(entryVm)) {
            return Optional.empty();
        }
        return byScore(entryVmHash, readers).stream()
                .filter(reader -> {
                    Avoidance avoidance = avoided.get(reader);
                    return avoidance == null || nowNanos - avoidance.untilNanos() >= 0;
                })
                .findFirst();
    }

    /**
     * Records that a reader did not answer or refused, so that it is avoided for some time; longer if it fails again.
     *
     * @param reader the reader
     * @param refused whether it answered that it cannot tell the changes
     * @param nowNanos the time
     */
    public void recordFailure(String reader, boolean refused, long nowNanos) {
        Avoidance before = avoided.get(reader);
        long shortest = refused ? REFUSED_AVOIDANCE_NANOS : SILENT_AVOIDANCE_NANOS;
        long duration = before == null
                ? shortest
                : Math.min(MAXIMUM_AVOIDANCE_NANOS, Math.max(shortest, 2 * before.durationNanos()));
        avoided.put(reader, new Avoidance(nowNanos + duration, duration));
    }

    /** Records that a reader answered. */
    public void recordAnswer(String reader) {
        avoided.remove(reader);
    }
}
