package org.banyanhook.daemon.membership;

import java.util.ArrayList;
import java.util.List;
import org.banyanhook.core.membership.Member;
import org.banyanhook.core.membership.MemberState;
import org.banyanhook.protocol.generated.MemberNews;

/** Converts members to their form on peer links and back. */
final class MembershipUpdateCodec {

    private MembershipUpdateCodec() {}

    static List<MemberNews> encode(List<Member> members) {
        List<MemberNews> news = new ArrayList<>(members.size());
        for (Member member : members) {
            news.add(MemberNews.newBuilder()
                    .setEntryVm(member.name())
                    .setFailureDomain(member.failureDomain())
                    .setPeerAddress(member.peerAddress())
                    .setIncarnation(member.incarnation())
                    .setState(MemberNews.State.valueOf(member.state().name()))
                    .build());
        }
        return news;
    }

    /** Converts received news; leaves out entries without a name, without an address, or of an unknown state. */
    static List<Member> decode(List<MemberNews> news) {
        List<Member> members = new ArrayList<>(news.size());
        for (MemberNews item : news) {
            boolean known = item.getState() != MemberNews.State.UNRECOGNIZED;
            if (known && !item.getEntryVm().isEmpty() && !item.getPeerAddress().isEmpty()) {
                members.add(new Member(
                        item.getEntryVm(),
                        item.getFailureDomain(),
                        item.getPeerAddress(),
                        Math.max(0, item.getIncarnation()),
                        MemberState.valueOf(item.getState().name())));
            }
        }
        return members;
    }
}
