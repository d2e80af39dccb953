package org.banyanhook.core.configuration;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Chooses by rendezvous hashing which entry VMs of a failure domain watch the platform; the others poll nothing. */
public final class WatcherSelection {

    /** How many entry VMs of a failure domain watch, so that one may fail unnoticed. */
    public static final int WATCHERS_PER_FAILURE_DOMAIN = 2;

    private WatcherSelection() {}

    /**
     * Chooses the watchers.
     *
     * @param entryVms the names of the live entry VMs of one failure domain, in any order
     * @return the names of the watchers, the first choice first; fewer than two if there are fewer entry VMs
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
