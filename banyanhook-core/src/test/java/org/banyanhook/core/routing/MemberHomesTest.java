package org.banyanhook.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class MemberHomesTest {

    private static final List<String> ENTRY_VMS =
            IntStream.range(0, 20).mapToObj(number -> "edge-" + number).toList();

    /** Guards against daemons that disagree because they list the others in a different order. */
    @Test
    void choiceDoesNotDependOnTheOrder() {
        List<String> shuffled = new ArrayList<>(ENTRY_VMS);
        Collections.shuffle(shuffled, new Random(1));
        List<String> homes = MemberHomes.choose("member", ENTRY_VMS);
        assertThat(homes).hasSize(MemberHomes.HOMES_PER_MEMBER);
        assertThat(MemberHomes.choose("member", shuffled)).isEqualTo(homes);
    }

    /** Guards against connections that are all reopened when one daemon leaves. */
    @Test
    void daemonThatLeavesChangesOnlyItsOwnPart() {
        List<String> homes = MemberHomes.choose("member", ENTRY_VMS);
        List<String> remaining = new ArrayList<>(ENTRY_VMS);
        remaining.remove(homes.get(0));
        assertThat(MemberHomes.choose("member", remaining)).containsAtLeastElementsIn(homes.subList(1, homes.size()));
    }

    /** Guards against one daemon that is the home of most members, or serves most accounts. */
    @Test
    void membersAndAccountsAreSpread() {
        Set<String> used = new HashSet<>();
        IntStream.range(0, 60).forEach(member -> used.addAll(MemberHomes.choose("m" + member, ENTRY_VMS)));
        assertThat(used).hasSize(ENTRY_VMS.size());
        Map<String, Integer> accounts = new HashMap<>();
        List<String> homes = MemberHomes.choose("member", ENTRY_VMS);
        IntStream.range(0, 90)
                .forEach(account -> accounts.merge(
                        MemberHomes.forAccount(homes, "member", "account-" + account)
                                .get(0),
                        1,
                        Integer::sum));
        assertThat(accounts).hasSize(MemberHomes.HOMES_PER_MEMBER);
        assertThat(Collections.max(accounts.values())).isLessThan(60);
    }
}
