package org.banyanhook.testbed.rate;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.banyanhook.core.rate.AllotmentRecord;

/** The platform's value of each failure domain and its lagging list of virtual machines. */
final class FakePlatform implements FaultyNetwork.Place {

    private final Map<String, Stored> values = new HashMap<>();
    private final Map<String, Set<String>> listed = new HashMap<>();
    private long revision;
    private long calls;
    private boolean down;
    private int island;

    /** A record with its revision. */
    record Stored(AllotmentRecord record, long revision) {}

    Stored read(String domain) {
        calls++;
        return values.getOrDefault(domain, new Stored(AllotmentRecord.EMPTY, 0));
    }

    /** Returns the new revision, or empty on a conflict. */
    Optional<Long> swap(String domain, AllotmentRecord record, long expectedRevision) {
        calls++;
        if (values.getOrDefault(domain, new Stored(AllotmentRecord.EMPTY, 0)).revision() != expectedRevision) {
            return Optional.empty();
        }
        values.put(domain, new Stored(record, ++revision));
        return Optional.of(revision);
    }

    Set<String> listed(String domain) {
        return listed.computeIfAbsent(domain, name -> new TreeSet<>());
    }

    long calls() {
        return calls;
    }

    void down(boolean value) {
        down = value;
    }

    boolean isUp() {
        return !down;
    }

    void island(int value) {
        island = value;
    }

    int island() {
        return island;
    }

    @Override
    public String name() {
        return FaultyNetwork.PLATFORM;
    }

    @Override
    public String failureDomain() {
        return FaultyNetwork.PLATFORM;
    }

    @Override
    public boolean reaches(FaultyNetwork.Place other) {
        return other.reaches(this);
    }

    @Override
    public void deliver(Runnable handler) {
        handler.run();
    }
}
