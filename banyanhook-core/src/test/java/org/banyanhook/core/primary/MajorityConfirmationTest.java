package org.banyanhook.core.primary;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.banyanhook.core.replication.LogPosition;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class MajorityConfirmationTest {

    private static final LogPosition TARGET = new LogPosition(4, 10);
    private static final long AFTER_NANOS = 100;

    /** Each member is {@code term:lastTerm:position@readBegan}; the target is 4:10, to be read after 100. */
    @ParameterizedTest
    @CsvSource({
        "4:4:10@101 4:4:11@101 4:4:2@101, CONFIRMED",
        "4:4:10@101 4:4:9@101 4:4:2@101, WAITING",
        "4:4:10@101 4:4:10@100, WAITING",
        "4:4:10@99 4:4:10@99 4:4:10@99, WAITING",
        "4:4:10@101 4:3:12@101 4:3:15@101, WAITING",
        "4:4:10@101 5:4:10@101 4:4:9@101, WAITING",
        "4:4:10@101 5:5:30@101 5:5:30@101, SUPERSEDED",
        "5:4:10@99 5:4:10@99, SUPERSEDED",
        "3:3:10@101 3:3:10@101 3:3:10@101, WAITING",
        "4:4:10@101, WAITING",
    })
    void countsMembersOfTheTermThatHoldTheTarget(String members, ConfirmationResult expected) {
        assertThat(MajorityConfirmation.evaluate(observations(members), 2, TARGET, AFTER_NANOS))
                .isEqualTo(expected);
    }

    @Test
    void durablePositionIsWhatAMajorityHoldsInTheTerm() {
        assertThat(MajorityConfirmation.durablePosition(observations("4:4:10@1 4:4:7@1 4:3:99@1"), 2, 4))
                .isEqualTo(new LogPosition(4, 7));
        assertThat(MajorityConfirmation.durablePosition(observations("4:4:10@1 5:4:9@1"), 2, 4))
                .isEqualTo(LogPosition.START);
    }

    private static List<MemberObservation> observations(String members) {
        List<MemberObservation> observations = new ArrayList<>();
        for (String member : members.split(" ", -1)) {
            String[] parts = member.split("[:@]", -1);
            LogPosition position = new LogPosition(Long.parseLong(parts[1]), Long.parseLong(parts[2]));
            MemberStatus status = new MemberStatus(
                    "m" + observations.size(), Long.parseLong(parts[0]), MemberRole.REPLICA, position, "", 0);
            observations.add(new MemberObservation(status, Long.parseLong(parts[3])));
        }
        return observations;
    }
}
