package org.banyanhook.core.primary;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import org.banyanhook.core.configuration.BackendServer;

/** Finds members that do not follow a working primary, such as a former primary that returned. */
public final class FollowerRepair {

    private FollowerRepair() {}

    /**
     * Returns the commands that make out-of-sync members follow the primary.
     *
     * @param view the group
     * @return a command for each member that was last observed in an earlier term, or in the primary's term without
     *     following it
     */
    public static List<PromotionCommand> followCommands(GroupView view) {
        Optional<KnownPrimary> primary = view.primary();
        if (primary.isEmpty()) {
            return List.of();
        }
        ImmutableList.Builder<PromotionCommand> commands = ImmutableList.builder();
        for (BackendServer member : view.database().members()) {
            Optional<MemberStatus> status = view.status(member.name());
            if (status.isPresent() && isOutOfSync(status.get(), primary.get())) {
                commands.add(PromotionCommand.follow(
                        member.name(), primary.get().term(), primary.get().member()));
            }
        }
        return commands.build();
    }

    private static boolean isOutOfSync(MemberStatus status, KnownPrimary primary) {
        if (status.member().equals(primary.member())) {
            return false;
        }
        boolean follows =
                status.role() == MemberRole.REPLICA && status.primaryMember().equals(primary.member());
        return status.term() < primary.term() || (status.term() == primary.term() && !follows);
    }

    /**
     * Returns whether a member accepted a term that never had a primary, for example because a proposer failed. Such a
     * member cannot follow any primary until a later term has one.
     *
     * @param view the group
     * @return true if a member was last observed in a later term than the primary's
     */
    public static boolean needsNewTerm(GroupView view) {
        return view.primary()
                .filter(primary -> view.membersInLaterTerm(primary.term()) > 0)
                .isPresent();
    }
}
