package org.banyanhook.core.primary;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.banyanhook.core.replication.LogPosition;
import org.jspecify.annotations.Nullable;

/**
 * The members of a database group that may hold a commit that no other reachable member holds.
 *
 * <p>With synchronous replicas, a commit is acknowledged once enough replicas have received it, whichever they are. A
 * member that is not listed any more, or that has started again without its log, may have been one of them. It is
 * therefore missed until enough replicas have caught up with the log of the primary as it was after the departure. A
 * member that is listed again is the same one if its start time is the same. Not thread-safe.
 */
public final class CommitHolders {

    private Map<String, ListedMember> listed = Map.of();
    private final Map<String, Departure> departures = new HashMap<>();

    /**
     * A member that its group lists.
     *
     * @param member the name of the member
     * @param startedAtMillis when it started, in milliseconds of the Unix epoch, or 0 if not reported
     * @param address its address; a member of another name at the address of one that was leaving has received the log
     *     of that one
     * @param leaving whether it is about to stop
     */
    public record ListedMember(String member, long startedAtMillis, String address, boolean leaving) {

        private boolean isSameRunAs(@Nullable ListedMember other) {
            return other != null && member.equals(other.member) && startedAtMillis == other.startedAtMillis;
        }

        private boolean hasLogOf(ListedMember predecessor) {
            return isSameRunAs(predecessor)
                    || (predecessor.leaving
                            && !leaving
                            && !member.equals(predecessor.member)
                            && address.equals(predecessor.address));
        }

        private String key() {
            return member + " started at " + startedAtMillis;
        }
    }

    private static final class Departure {
        private final ListedMember former;
        private final long departedNanos;
        private final Set<String> caughtUp = new HashSet<>();
        private @Nullable LogPosition primaryPosition;

        private Departure(ListedMember former, long departedNanos) {
            this.former = former;
            this.departedNanos = departedNanos;
        }
    }

    /**
     * Applies the current list of members.
     *
     * @param members the members that the group lists now
     * @param nowNanos the reading of this entry VM's monotonic clock
     */
    public void update(Collection<ListedMember> members, long nowNanos) {
        checkNotNull(members, "members");
        Map<String, ListedMember> current = new HashMap<>();
        members.forEach(member -> current.put(member.member(), member));
        for (ListedMember former : listed.values()) {
            if (!former.isSameRunAs(current.get(former.member()))) {
                departures.put(former.key(), new Departure(former, nowNanos));
            }
        }
        departures
                .values()
                .removeIf(departure -> current.values().stream().anyMatch(member -> member.hasLogOf(departure.former)));
        listed = current;
    }

    /**
     * Records the log position that a member reported.
     *
     * @param member the name of the member
     * @param primary whether it reported to be the primary
     * @param position the end of the log that it has received
     * @param sentNanos when the report was requested
     * @param synchronousReplicas how many replicas receive a commit before it is acknowledged
     */
    public void recordReport(
            String member, boolean primary, LogPosition position, long sentNanos, int synchronousReplicas) {
        for (Departure departure : departures.values()) {
            if (primary && departure.primaryPosition == null && sentNanos - departure.departedNanos >= 0) {
                departure.primaryPosition = position;
            } else if (!primary && departure.primaryPosition != null && position.covers(departure.primaryPosition)) {
                departure.caughtUp.add(member);
            }
        }
        departures.values().removeIf(departure -> departure.caughtUp.size() >= synchronousReplicas);
    }

    /** Returns whether a member has departed whose commits may not have reached enough of the others. */
    public boolean hasDepartures() {
        return !departures.isEmpty();
    }

    /**
     * Returns the members that may hold acknowledged commits.
     *
     * @return the names of the listed members, and for each departed one a text that contains its name and start
     */
    public Set<String> possibleHolders() {
        Set<String> holders = new HashSet<>(listed.keySet());
        holders.addAll(departures.keySet());
        return holders;
    }
}
