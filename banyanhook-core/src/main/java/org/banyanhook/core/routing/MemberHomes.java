package org.banyanhook.core.routing;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses the homes of a member: the entry VMs near it that keep connections to it for the others, where a fleet has
 * more entry VMs than the member accepts connections.
 *
 * <p>Uses rendezvous hashing, so that entry VMs with the same view of the fleet agree, and one that joins or leaves
 * changes only its own part.
 */
public final class MemberHomes {

    /**
     * The number of homes of a member. With fewer, each account has more connections to share, but a home that is lost
     * takes more of the member's work along.
     */
    public static final int HOMES_PER_MEMBER = 3;

    private MemberHomes() {}

    /**
     * Chooses the homes of a member.
     *
     * @param member the name of the member
     * @param entryVms the names of the entry VMs in its failure domain
     * @return at most {@link #HOMES_PER_MEMBER} of them
     */
    public static List<String> choose(String member, Collection<String> entryVms) {
        return ranked(RendezvousScores.nameHash(member), entryVms).stream()
                .limit(HOMES_PER_MEMBER)
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Orders the homes of a member for a client account. Each account uses the first home that can be reached, so that
     * few connections serve many accounts without being reopened.
     *
     * @param homes the homes of the member
     * @param member the name of the member
     * @param account the client account
     * @return the homes, most preferred first
     */
    public static List<String> forAccount(Collection<String> homes, String member, String account) {
        return ranked(RendezvousScores.nameHash(account + '\n' + member), homes);
    }

    private static List<String> ranked(long keyHash, Collection<String> entryVms) {
        return entryVms.stream()
                .sorted(Comparator.<String>comparingLong(
                                name -> RendezvousScores.score(keyHash, RendezvousScores.nameHash(name)))
                        .reversed()
                        .thenComparing(Comparator.naturalOrder()))
                .collect(ImmutableList.toImmutableList());
    }
}
