package org.banyanhook.gateway.backend;

import java.util.List;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.core.scheduling.MemberChoice;
import org.jspecify.annotations.Nullable;

/**
 * The members that a request could run at, and which of them is chosen.
 *
 * @param members all members of the group
 * @param choice the chosen member, or null if none qualifies now, so that the request waits
 * @param random whether the choice is made at random, by weights that fall with the costs
 * @param draw the random value of the choice
 * @param primaryOnly whether only the primary qualifies
 */
public record SelectionReport(
        List<Member> members, @Nullable String choice, boolean random, double draw, boolean primaryOnly) {
    public SelectionReport {
        members = List.copyOf(members);
    }

    /**
     * What is known of a member.
     *
     * @param name the name
     * @param primary whether it is the known primary
     * @param region its region
     * @param position the end of its log according to its last answer
     * @param slots how many statements it runs at a time
     * @param running the statements of this daemon that it is running or has queued
     * @param inFlight those of all daemons, as far as they are known here
     * @param knee the number in flight beyond which answers only get slower; the slots if it is not learned
     * @param serviceMillis the time of a statement; includes waiting if the daemons do not share what they learn
     * @param access how a connection can be obtained, or null if the member does not qualify
     * @param costMillis the cost of running the request there, or 0 if the member does not qualify
     * @param exclusion why it does not qualify, or an empty text
     */
    public record Member(
            String name,
            boolean primary,
            String region,
            LogPosition position,
            int slots,
            int running,
            double inFlight,
            double knee,
            double serviceMillis,
            MemberChoice.@Nullable Access access,
            double costMillis,
            String exclusion) {}
}
