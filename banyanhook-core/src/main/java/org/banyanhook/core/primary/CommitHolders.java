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
 * member that is not listed any more, or that has started again without its log, may have been one of them. One that is
 * only cut off from the platform still is. A departed member is therefore missed until it does not answer, and enough
 * replicas have caught up with the log of the primary as it was after that. A member that is listed again is the same
 * one if its start time is the same. Not thread-safe.
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

        /** Returns the name under which it is missed after its departure. */
        public String departedName() {
            return member + " started at " + startedAtMillis;
        }
    }

    private static final class Departure {
        private final ListedMember former;
        private final Set<String> caughtUp = new HashSet<>();
        private boolean silent;
        private long silentSinceNanos;
        private @Nullable LogPosition primaryPosition;

        private Departure(ListedMember former) {
            this.former = former;
        }

        private void recordSilence(long nowNanos) {
            if (!silent) {
                silent = true;
                silentSinceNanos = nowNanos;
            }
        }

        private void recordAnswer() {
            silent = false;
            primaryPosition = null;
            caughtUp.clear();
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
                Departure departure = new Departure(former);
                if (current.containsKey(former.member())) {
                    // Its former run has ended.
                    departure.recordSilence(nowNanos);
                }
                departures.put(former.departedName(), departure);
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
            if (!departure.silent) {
                continue;
            }
            if (primary && departure.primaryPosition == null && sentNanos - departure.silentSinceNanos >= 0) {
                departure.primaryPosition = position;
            } else if (!primary && departure.primaryPosition != null && position.covers(departure.primaryPosition)) {
                departure.caughtUp.add(member);
            }
        }
        departures.values().removeIf(departure -> departure.caughtUp.size() >= synchronousReplicas);
    }

    /**
     * Records whether a departed member answered, which receives further commits if it did.
     *
     * @param departedName the name under which it is missed
     * @param answered whether it answered as the run that departed
     * @param nowNanos the reading of this entry VM's monotonic clock when that was known
     */
    public void recordDeparted(String departedName, boolean answered, long nowNanos) {
        Departure departure = departures.get(departedName);
        if (departure != null && answered) {
            departure.recordAnswer();
        } else if (departure != null) {
            departure.recordSilence(nowNanos);
        }
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
