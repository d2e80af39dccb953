package org.banyanhook.core.usage;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.banyanhook.core.usage.UsageReportSchedule.Report;
import org.junit.jupiter.api.Test;

final class UsageDecisionTest {

    private static final UsageSettings SETTINGS = new UsageSettings(5_000, 0.05, 10_000, 3_000, 50);
    private static final UsageWindows WINDOWS = new UsageWindows(SETTINGS);
    private static final Set<String> TWO = Set.of("vm-1", "vm-2");

    private record Case(long nowMillis, long takenMillis, int heard, long count, boolean before, String kind) {}

    /** Deciding too early loses counts, too late misses the due time, and an unknown window must not count as empty. */
    @Test
    void decisionsFollowTheTable() {
        List<Case> cases = List.of(
                new Case(5_500, 0, 2, 3, true, "WAIT"),
                new Case(5_700, 0, 2, 3, true, "REPORT"),
                new Case(10_900, 0, 1, 3, true, "WAIT"),
                new Case(11_000, 0, 1, 3, true, "REPORT"),
                new Case(11_000, 10_000, 1, 3, true, "WAIT"),
                new Case(12_400, 10_000, 1, 3, true, "WAIT"),
                new Case(12_500, 10_000, 1, 3, true, "REPORT"),
                new Case(12_400, 10_000, 2, 3, true, "WAIT"),
                new Case(12_500, 10_000, 2, 3, true, "REPORT"),
                new Case(5_700, 0, 2, 0, true, "REPORT"),
                new Case(5_700, 0, 2, 0, false, "SKIP"),
                new Case(11_000, 0, 1, 0, true, "SKIP"),
                new Case(21_000, 0, 2, 3, true, "SKIP"));
        for (Case checked : cases) {
            UsageCollection collection = new UsageCollection();
            Map<String, Long> counts = checked.count() == 0 ? Map.of() : Map.of("plant", checked.count());
            collection.add("vm-1", 1, new WindowUsage(0, counts, true, 1));
            collection.add("vm-2", 1, new WindowUsage(0, Map.of(), checked.heard() == 2, 1));
            UsageDecision decision = UsageDecision.decide(
                    0,
                    WINDOWS,
                    collection,
                    new UsageDecision.Circumstances(checked.nowMillis(), checked.takenMillis(), TWO, checked.before()));
            assertWithMessage("%s", checked).that(decision.kind().name()).isEqualTo(checked.kind());
        }
    }

    /** Repeated, reordered and restarted senders must neither add twice nor lose what they counted. */
    @Test
    void collectionKeepsTheHighestCountOfEachRun() {
        UsageCollection collection = new UsageCollection();
        collection.add("vm-1", 1, new WindowUsage(0, Map.of("plant", 5L), true, 1));
        collection.add("vm-1", 1, new WindowUsage(0, Map.of("plant", 3L), false, 1));
        collection.add("vm-1", 2, new WindowUsage(0, Map.of("plant", 2L), false, 1));
        assertThat(collection.total(0)).containsExactly("plant", 7L);
        assertThat(collection.countComplete(0, TWO)).isEqualTo(1);
        collection.forgetThrough(0);
        collection.add("vm-1", 1, new WindowUsage(0, Map.of("plant", 5L), true, 1));
        assertThat(collection.total(0)).isEmpty();
    }

    /** A report that overtakes an older one, or is repeated without pause, breaks the order or the permitted rate. */
    @Test
    void reportsAreSentInOrderAndRepeatedUntilTheyAreTooLate() {
        UsageReportSchedule schedule = new UsageReportSchedule(WINDOWS, SETTINGS);
        schedule.add(new Report(1, new TreeMap<>()));
        schedule.add(new Report(0, new TreeMap<>()));
        assertThat(schedule.startNext(6_000, 0).orElseThrow().window()).isEqualTo(0);
        assertThat(schedule.startNext(6_000, 0)).isEmpty();
        schedule.onFailed(0, 0.5);
        assertThat(schedule.startNext(6_000, 149)).isEmpty();
        assertThat(schedule.startNext(6_000, 150).orElseThrow().window()).isEqualTo(0);
        schedule.onFailed(150, 0.5);
        assertThat(schedule.startNext(20_000, 600).orElseThrow().window()).isEqualTo(1);
        schedule.onAccepted(1);
        schedule.add(new Report(0, new TreeMap<>()));
        assertThat(schedule.startNext(20_000, 700)).isEmpty();
    }

    /** All daemons would call the store at once when the holder of the duty ends. */
    @Test
    void daemonsTryTheDutyOneAfterTheOther() {
        Set<String> daemons = Set.of("vm-1", "vm-2", "vm-3", "vm-4");
        assertThat(daemons.stream().map(vm -> DutyCandidacy.delayMillis("usage", vm, daemons)))
                .containsExactly(0L, 300L, 600L, 900L);
        for (String holder : daemons) {
            String successor = DutyCandidacy.successor("usage", holder, daemons).orElseThrow();
            assertThat(DutyCandidacy.delayMillis("usage", successor, daemons)).isAtMost(300);
        }
    }
}
