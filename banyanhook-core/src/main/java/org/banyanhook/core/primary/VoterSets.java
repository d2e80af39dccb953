package org.banyanhook.core.primary;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * The entry VMs that vote on the replacement of primaries, as the store records them. All daemons count the same sets,
 * whichever daemons they happen to know.
 *
 * <p>The daemon that replaces a primary needs half of each set, and a daemon without contact to the store that relies
 * on the others needs more than half of each, so that the two have a voter in common. A change is made in two steps:
 * the new voters are recorded beside the former ones, and the former ones are removed once half of each set has read
 * that record and everything before it. A daemon that knows an older record than another one then meets a voter that
 * knows the newer one. Immutable.
 *
 * @param version the number of changes since the first record
 * @param voters the voters
 * @param former the voters before the change that is being made, empty before the first ones, or null if no change is
 *     being made
 */
public record VoterSets(
        long version, Set<String> voters, @Nullable Set<String> former) {

    /** Before any voters have been recorded. No daemon relies on the others then. */
    public static final VoterSets NONE = new VoterSets(0, Set.of(), null);

    /**
     * Creates sets.
     *
     * @throws IllegalArgumentException if the version is negative, or if there are no voters in a later version than 0
     */
    public VoterSets {
        checkArgument(version >= 0, "version must not be negative, was %s", version);
        checkArgument(version == 0 || !voters.isEmpty(), "version %s must have voters", version);
        voters = ImmutableSet.copyOf(voters);
        former = former == null ? null : ImmutableSet.copyOf(former);
    }

    /** Returns whether the former voters still count beside the new ones. */
    public boolean isChanging() {
        return former != null;
    }

    /** Returns whether voters are recorded and the first ones have been acknowledged. */
    public boolean isInForce() {
        return version > 0 && !(former != null && former.isEmpty());
    }

    /** Returns the voters of all sets. */
    public Set<String> all() {
        return former == null ? voters : Sets.union(voters, former);
    }

    /** Returns the first step of a change. */
    public VoterSets changeTo(Set<String> newVoters) {
        checkArgument(!isChanging(), "the change of version %s has not ended", version);
        return new VoterSets(version + 1, newVoters, voters);
    }

    /** Returns the second step of a change. */
    public VoterSets endChange() {
        checkArgument(isChanging(), "version %s is not a change", version);
        return new VoterSets(version + 1, voters, null);
    }

    /**
     * Returns whether the answers suffice to replace a primary or to end a change of the voters: no daemon can rely on
     * the others without the answer of one of these.
     *
     * @param answered the entry VMs whose daemons answered, including the asking one
     * @param departed the entry VMs whose daemons have been without contact to the store for so long that no other
     *     daemon relies on a majority with them
     */
    public boolean mayDecide(Set<String> answered, Set<String> departed) {
        return sets().stream().allMatch(set -> {
            Set<String> counted = Sets.intersection(set, Sets.union(answered, departed));
            boolean anyAnswered = !Sets.intersection(set, answered).isEmpty();
            return counted.size() * 2 >= set.size() && (anyAnswered || departed.containsAll(set));
        });
    }

    /**
     * Returns whether a daemon without contact to the store may rely on the answers of the others.
     *
     * @param answered the entry VMs whose daemons answered, including the asking one
     * @param recentContact those of them whose daemons were in contact with the store a short time ago
     */
    public boolean mayRely(Set<String> answered, Set<String> recentContact) {
        return sets().stream()
                .allMatch(set -> !set.isEmpty()
                        && (Sets.intersection(set, recentContact).size() * 2 > set.size()
                                || answered.containsAll(set)));
    }

    private List<Set<String>> sets() {
        return isChanging() ? List.of(voters, requireNonNull(former)) : List.of(voters);
    }
}
