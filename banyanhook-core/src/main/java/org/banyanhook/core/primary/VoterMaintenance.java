package org.banyanhook.core.primary;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;

/**
 * Decides when the record of the voters has to change, and how.
 *
 * <p>Load pattern: a fleet starts, grows, loses machines for good, or is replaced machine by machine. Daemons that are
 * restarted remain voters, so a rolling restart changes nothing.
 *
 * @param known the newest voters that this daemon knows
 * @param lost whether the store does not hold them any more, because it was restored from an older copy
 * @param registered the failure domain of each entry VM whose daemon has an entry in the store
 * @param absentVoters the failure domain of each voter whose daemon has had no entry for a short time
 * @param nanosUnchanged for how long the registered daemons have been the same
 * @param acknowledged the entry VMs whose daemons have read the record of the known voters and all changes before it
 * @param departed the entry VMs whose daemons have been without an entry for longer than {@link #DEPARTED_AFTER_NANOS}
 */
public record VoterMaintenance(
        VoterSets known,
        boolean lost,
        Map<String, String> registered,
        Map<String, String> absentVoters,
        long nanosUnchanged,
        Set<String> acknowledged,
        Set<String> departed) {

    /**
     * How long a voter's answer is relied on after its last contact to the store, unless all voters answer. It bounds
     * how long the loss of most of the voters keeps primaries from being replaced.
     */
    public static final long RELIANCE_NANOS = Duration.ofSeconds(25).toNanos();

    /** How long after the end of a daemon's entry no other daemon relies on a majority with it any more. */
    public static final long DEPARTED_AFTER_NANOS = RELIANCE_NANOS + PromotionPermission.STOPPED_AFTER_NANOS;

    /** How long the fleet has to be the same before the voters change, so that a start costs one change. */
    static final long STABLE_NANOS = Duration.ofSeconds(2).toNanos();

    /** What to do. */
    public enum Action {
        /** The voters stay as they are. */
        NONE,
        /** The first step of a change is to be written. */
        CHANGE,
        /** The other voters are to be asked whether they have read the record of the change. */
        ASK,
        /** The second step of a change is to be written. */
        END_CHANGE,
        /** The known voters are to be written again, since the store has lost them. */
        RESTORE
    }

    /**
     * A decision.
     *
     * @param action what to do
     * @param sets what to write, if anything; else the known sets
     */
    public record Decision(Action action, VoterSets sets) {}

    public VoterMaintenance {
        registered = ImmutableMap.copyOf(registered);
        absentVoters = ImmutableMap.copyOf(absentVoters);
        acknowledged = Set.copyOf(acknowledged);
        departed = Set.copyOf(departed);
    }

    /** Returns whether the fleet has been the same for long enough to change the voters. */
    public static boolean isStable(long nanosUnchanged) {
        return nanosUnchanged >= STABLE_NANOS;
    }

    /**
     * Decides what to do next.
     *
     * @param regionOf returns the region of a failure domain
     */
    public Decision decide(UnaryOperator<String> regionOf) {
        if (lost) {
            return new Decision(Action.RESTORE, new VoterSets(known.version() + 1, known.voters(), known.former()));
        }
        if (known.isChanging()) {
            return known.mayDecide(acknowledged, departed)
                    ? new Decision(Action.END_CHANGE, known.endChange())
                    : new Decision(Action.ASK, known);
        }
        if (registered.isEmpty() || !isStable(nanosUnchanged)) {
            return new Decision(Action.NONE, known);
        }
        Map<String, String> candidates = new HashMap<>(absentVoters);
        candidates.putAll(registered);
        Set<String> selected = VoterSelection.select(candidates, regionOf, known.voters());
        return selected.equals(known.voters())
                ? new Decision(Action.NONE, known)
                : new Decision(Action.CHANGE, known.changeTo(selected));
    }
}
