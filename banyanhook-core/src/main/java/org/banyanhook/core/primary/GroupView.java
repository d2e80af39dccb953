package org.banyanhook.core.primary;

import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.Optional;
import org.banyanhook.core.configuration.Database;
import org.banyanhook.core.replication.LogPosition;

/**
 * The latest observations of one database group and the state derived from them. Immutable.
 *
 * @param database the configuration of the group
 * @param observations the latest observation of each member that has ever answered, by member name
 */
public record GroupView(Database database, Map<String, MemberObservation> observations) {
    public GroupView {
        observations = ImmutableMap.copyOf(observations);
    }

    /** Returns the highest term that any member accepted, 0 if no member has answered. */
    public long highestTerm() {
        return observations.values().stream()
                .mapToLong(observation -> observation.status().term())
                .max()
                .orElse(0);
    }

    /**
     * Returns the primary of the highest term that has one, or empty if none is known or a majority accepted a later
     * term.
     */
    public Optional<KnownPrimary> primary() {
        KnownPrimary best = null;
        for (MemberObservation observation : observations.values()) {
            MemberStatus status = observation.status();
            String primaryName = status.role() == MemberRole.PRIMARY ? status.member() : status.primaryMember();
            boolean known = status.role() != MemberRole.FENCED
                    && database.member(primaryName).isPresent();
            if (known && (best == null || status.term() > best.term())) {
                best = new KnownPrimary(status.term(), primaryName);
            }
        }
        return Optional.ofNullable(best)
                .filter(primary -> membersInLaterTerm(primary.term()) < database.majoritySize());
    }

    /**
     * Returns the highest log position of the primary's term that a majority holds, {@link LogPosition#START} if none
     * is known.
     */
    public LogPosition durablePosition() {
        return primary()
                .map(primary -> MajorityConfirmation.durablePosition(
                        observations.values(), database.majoritySize(), primary.term()))
                .orElse(LogPosition.START);
    }

    /**
     * Counts the members that accepted a later term.
     *
     * @param term the term to compare with
     * @return the number of members that were last observed in a later term
     */
    public int membersInLaterTerm(long term) {
        return (int) observations.values().stream()
                .filter(observation -> observation.status().term() > term)
                .count();
    }

    /**
     * Returns the last observed status of a member.
     *
     * @param member the name of the backend server
     * @return its status, or empty if it has never answered
     */
    public Optional<MemberStatus> status(String member) {
        return Optional.ofNullable(observations.get(member)).map(MemberObservation::status);
    }

    /**
     * Returns a view in which an observation replaces the earlier one of the same member.
     *
     * @param observation the observation
     * @return the new view, or this view if it already holds a later observation of the member
     */
    public GroupView with(MemberObservation observation) {
        String member = observation.status().member();
        MemberObservation known = observations.get(member);
        if (known != null && known.readBeganNanos() - observation.readBeganNanos() > 0) {
            return this;
        }
        ImmutableMap.Builder<String, MemberObservation> replaced = ImmutableMap.builder();
        replaced.putAll(observations).put(member, observation);
        return new GroupView(database, replaced.buildKeepingLast());
    }

    /**
     * Returns a view for a changed configuration, without the observations of former members.
     *
     * @param configured the new configuration of the group
     * @return the new view
     */
    public GroupView withDatabase(Database configured) {
        ImmutableMap.Builder<String, MemberObservation> kept = ImmutableMap.builder();
        observations.forEach((member, observation) -> {
            if (configured.member(member).isPresent()) {
                kept.put(member, observation);
            }
        });
        return new GroupView(configured, kept.buildOrThrow());
    }
}
