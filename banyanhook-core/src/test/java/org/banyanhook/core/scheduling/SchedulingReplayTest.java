package org.banyanhook.core.scheduling;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToIntFunction;
import org.banyanhook.core.scheduling.SchedulingReplay.Kind;
import org.banyanhook.core.scheduling.SchedulingReplay.Policy;
import org.banyanhook.core.scheduling.SchedulingReplay.Scenario;
import org.junit.jupiter.api.Test;

/** Compares the decisions with the former ones (order of arrival by account, fixed retries) on seeded loads. */
final class SchedulingReplayTest {

    private static final int SEEDS = 5;

    /** The rates of site B load the group to about 0.23. */
    private static final Scenario BURST = new Scenario("burst of 1.7", 7.35, 1, false, 0, 2_000, 8_000);

    private static final Scenario OVERLOAD = new Scenario("overload of 4", 17, 1, false, 0, 2_000, 8_000);
    private static final Scenario ACCOUNT = new Scenario("account at 7.5", 4, 7.5, false, 0, 2_000, 8_000);
    private static final Scenario AWAY = new Scenario("primary away", 3, 1, true, 0, 3_000, 6_000);

    /** An even division of 120 idle transactions, 20 for each group, leaves connections free; this does not. */
    private static final Scenario IDLE = new Scenario("idle transactions", 7.35, 1, false, 50, 2_000, 8_000);

    /**
     * Guards against scheduling that loses more timely answers than it gains. The gains are lower bounds of the change
     * of the share served within the objective, by kind.
     */
    @Test
    void importantKindsAreServedBetterAndTheOthersAreNotStarved() {
        record Case(Scenario scenario, double current, double bounded, double ownWrites) {}
        List<Case> cases = List.of(
                new Case(BURST, 0, -0.06, 0.25),
                new Case(OVERLOAD, 0.2, -0.01, 0.15),
                new Case(ACCOUNT, 0, -0.06, 0.04),
                new Case(AWAY, 0.04, -0.01, 0),
                new Case(IDLE, -0.01, -0.06, 0.25));
        for (Case expected : cases) {
            List<SchedulingReplay> former = replay(Policy.FORMER, expected.scenario());
            List<SchedulingReplay> current = replay(Policy.CURRENT, expected.scenario());
            double[] gains = {expected.current(), expected.bounded(), expected.ownWrites()};
            for (Kind kind : Kind.values()) {
                assertWithMessage(
                                "%s: %s\nformer %s\ncurrent %s",
                                expected.scenario().name(), kind, summary(former), summary(current))
                        .that(share(current, kind) - share(former, kind))
                        .isAtLeast(gains[kind.ordinal()]);
            }
        }
    }

    /** Guards against a release after a promotion that the primary mostly refuses. */
    @Test
    void returnedPrimaryRefusesFewerStatements() {
        assertThat(total(replay(Policy.CURRENT, AWAY), run -> run.busy))
                .isLessThan(total(replay(Policy.FORMER, AWAY), run -> run.busy) * 3 / 4);
    }

    /** Guards against refusals of requests that would have been sent in time; these cannot be seen in production. */
    @Test
    void fewRefusedRequestsWouldHaveBeenSentInTime() {
        List<SchedulingReplay> runs = replay(Policy.SHADOW, OVERLOAD);
        assertThat(total(runs, run -> run.refused)).isGreaterThan(10_000);
        assertThat(total(runs, run -> run.wronglyRefused)).isLessThan(total(runs, run -> run.refused) / 5);
    }

    private static List<SchedulingReplay> replay(Policy policy, Scenario scenario) {
        List<SchedulingReplay> runs = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            runs.add(new SchedulingReplay(policy, scenario, seed).run());
        }
        return runs;
    }

    private static int total(List<SchedulingReplay> runs, ToIntFunction<SchedulingReplay> count) {
        return runs.stream().mapToInt(count).sum();
    }

    private static double share(List<SchedulingReplay> runs, Kind kind) {
        return total(runs, run -> run.inTime[kind.ordinal()])
                / (double) total(runs, run -> run.offered[kind.ordinal()]);
    }

    private static String summary(List<SchedulingReplay> runs) {
        StringBuilder line = new StringBuilder();
        for (Kind kind : Kind.values()) {
            double answered = total(runs, run -> run.answered[kind.ordinal()]);
            line.append(String.format(
                    "%s %.3f in time, %.3f answered; ",
                    kind, share(runs, kind), answered / total(runs, run -> run.offered[kind.ordinal()])));
        }
        double others = total(runs, run -> run.othersInTime) / (double) total(runs, run -> run.othersOffered);
        return line.append(String.format("other accounts %.3f; busy %d", others, total(runs, run -> run.busy)))
                .toString();
    }
}
