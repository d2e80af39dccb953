package org.banyanhook.core.rate;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the number of holders and the planned units, and that changing fleets converge without excess units. */
final class AllotmentPlannerTest {

    @ParameterizedTest
    @CsvSource({"0.2, 1", "4, 1", "7.9, 1", "7.9999999999, 2", "13, 3", "400, 8"})
    void holderCountLeavesEachHolderAFewTokens(double domainBurst, int count) {
        assertThat(AllotmentPlanner.holderCount(domainBurst)).isEqualTo(count);
    }

    /** Columns: the units held by "a", the units held by "b", and the units that "a" plans when both run. */
    @ParameterizedTest
    @CsvSource({
        "0, 0, 420",
        "0, 700, 140",
        "0, 840, 0",
        "420, 420, 420",
        "840, 0, 420",
        "600, 0, 420",
        "600, 240, 420",
        "400, 300, 420"
    })
    void claimsFreeUnitsAndReleasesUnitsThatOthersLack(int own, int other, int planned) {
        AllotmentRecord record = AllotmentRecord.of(List.of(entry("a", own), entry("b", other)));
        // "600, 0" leaves 240 units free while "b" lacks 420, so "a" releases its surplus.
        assertThat(AllotmentPlanner.plan(record, "a", List.of("a", "b"), group -> 8))
                .isEqualTo(Collections.nCopies(AllotmentRecord.GROUP_COUNT, planned));
    }

    @Test
    void recordRejectsMoreUnitsThanAGroupHas() {
        assertThrows(
                IllegalArgumentException.class, () -> AllotmentRecord.of(List.of(entry("a", 500), entry("b", 341))));
    }

    @Test
    void changingFleetsConvergeWithoutExcessUnits() {
        for (long seed = 1; seed <= 20; seed++) {
            Random random = new Random(seed);
            AllotmentRecord record = AllotmentRecord.EMPTY;
            List<String> running = new ArrayList<>();
            for (int round = 0; round < 6; round++) {
                if (running.size() > 2 && random.nextBoolean()) {
                    record = record.without(running.remove(0));
                }
                running.add("vm-" + round + "-" + random.nextInt(1_000));
                for (int step = 0; step < 80; step++) {
                    String name = running.get(random.nextInt(running.size()));
                    AllotmentEntry held = record.entry(name).orElse(AllotmentEntry.empty(name, 1));
                    record = record.with(
                            held.withUnits(AllotmentPlanner.plan(record, name, running, group -> 1 + group % 8)));
                }
            }
            for (int group = 0; group < AllotmentRecord.GROUP_COUNT; group++) {
                assertWithMessage("seed %s group %s", seed, group)
                        .that(record.freeUnits(group))
                        .isEqualTo(0);
            }
        }
    }

    private static AllotmentEntry entry(String name, int units) {
        return AllotmentEntry.empty(name, 1).withUnits(Collections.nCopies(AllotmentRecord.GROUP_COUNT, units));
    }
}
