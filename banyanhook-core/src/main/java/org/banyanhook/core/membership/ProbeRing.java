package org.banyanhook.core.membership;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The members that one member probes: its successors in a ring ordered by the hashes of the member names.
 *
 * <p>The number of connections of a member stays bounded as the fleet grows, and every member is probed by as many
 * members as it probes itself. Not safe for use by several threads.
 */
final class ProbeRing {

    private static final int SUCCESSOR_COUNT = 16;

    private final TreeMap<Long, String> names = new TreeMap<>();
    private final long ownHash;

    ProbeRing(String ownName) {
        this.ownHash = hash(ownName);
    }

    void add(String name) {
        names.put(hash(name), name);
    }

    void remove(String name) {
        names.remove(hash(name), name);
    }

    /** Returns the names of the members to probe, the nearest successor first. */
    List<String> successors() {
        List<String> result = new ArrayList<>(SUCCESSOR_COUNT);
        addUntilFull(result, names.tailMap(ownHash, false));
        addUntilFull(result, names.headMap(ownHash, false));
        return result;
    }

    private static void addUntilFull(List<String> result, Map<Long, String> part) {
        for (String name : part.values()) {
            if (result.size() >= SUCCESSOR_COUNT) {
                return;
            }
            result.add(name);
        }
    }

    private static long hash(String name) {
        return Hashing.murmur3_128().hashString(name, StandardCharsets.UTF_8).asLong();
    }
}
