package org.banyanhook.daemon.membership;

import java.util.ArrayList;
import java.util.List;
import org.banyanhook.core.membership.Member;
import org.banyanhook.core.membership.MemberState;
import org.banyanhook.protocol.generated.MemberNews;

/** Converts members to and from their protobuf messages. */
final class MembershipUpdateCodec {

    private MembershipUpdateCodec() {}

    static List<MemberNews> encode(List<Member> members) {
        List<MemberNews> updates = new ArrayList<>(members.size());
        for (Member member : members) {
            updates.add(MemberNews.newBuilder()
                    .setEntryVm(member.name())
                    .setFailureDomain(member.failureDomain())
                    .setPeerAddress(member.peerAddress())
                    .setIncarnation(member.incarnation())
                    .setState(MemberNews.State.valueOf(member.state().name()))
                    .build());
        }
        return updates;
    }

    /** Converts received updates; skips those without a name, without an address, or with an unknown state. */
    static List<Member> decode(List<MemberNews> updates) {
        List<Member> members = new ArrayList<>(updates.size());
        for (MemberNews update : updates) {
            boolean hasKnownState = update.getState() != MemberNews.State.UNRECOGNIZED;
            if (hasKnownState
                    && !update.getEntryVm().isEmpty()
                    && !update.getPeerAddress().isEmpty()) {
                members.add(new Member(
                        update.getEntryVm(),
                        update.getFailureDomain(),
                        update.getPeerAddress(),
                        Math.max(0, update.getIncarnation()),
                        MemberState.valueOf(update.getState().name())));
            }
        }
        return members;
    }
}
