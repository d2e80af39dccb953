package org.banyanhook.core.configuration;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Selects by rendezvous hashing the entry VMs of a failure domain that watch the platform; the others do not poll it.
 */
public final class WatcherSelection {

    /** Number of watchers per failure domain; more than one, so that watching continues if one watcher fails. */
    public static final int WATCHERS_PER_FAILURE_DOMAIN = 2;

    private WatcherSelection() {}

    /**
     * Selects the watchers.
     *
     * @param entryVms the names of the live entry VMs of one failure domain, in any order
     * @return the names of the watchers in order of preference; fewer than two if there are fewer entry VMs
     */
    public static List<String> select(Collection<String> entryVms) {
        return entryVms.stream()
                .sorted(Comparator.comparingLong(WatcherSelection::rank).thenComparing(Comparator.naturalOrder()))
                .limit(WATCHERS_PER_FAILURE_DOMAIN)
                .toList();
    }

    private static long rank(String entryVm) {
        return Hashing.sipHash24()
                .hashString("watch/" + entryVm, StandardCharsets.UTF_8)
                .asLong();
    }
}
