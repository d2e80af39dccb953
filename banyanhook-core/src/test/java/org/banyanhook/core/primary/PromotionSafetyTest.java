package org.banyanhook.core.primary;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.stream.LongStream;
import org.banyanhook.core.configuration.Database;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against the loss of acknowledged writes, stale confirmed reads and two primaries in one term, when proposals
 * of several daemons interleave with lost, duplicated and reordered messages. The other tests check that the simulation
 * detects wrong rules.
 */
final class PromotionSafetyTest {

    private static final int SEEDS = 400;
    private static final int STEPS_PER_MEMBER = 1300;

    @ParameterizedTest
    @ValueSource(ints = {3, 5})
    void keepsEveryAcknowledgedWriteUnderFaults(int size) {
        int acknowledged = 0;
        int reads = 0;
        int promotions = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            PromotionInterleaving run = run(seed, size, PromotionInterleaving.MAJORITY_RULE, Function.identity());
            assertWithMessage("size %s seed %s", size, seed)
                    .that(run.history.violations)
                    .isEmpty();
            acknowledged += run.history.acknowledgedWrites();
            reads += run.history.confirmedReads();
            promotions += run.history.promotions();
        }
        assertThat(acknowledged).isGreaterThan(SEEDS * 5);
        assertThat(reads).isGreaterThan(SEEDS * 2);
        assertThat(promotions).isGreaterThan(SEEDS * 3);
    }

    @Test
    void detectsARuleThatComparesOnlyTerms() {
        assertThat(firstSeedWithViolation(
                        (observations, majority, target, afterNanos) -> observations.stream()
                                                .filter(observation ->
                                                        observation.status().term() == target.term())
                                                .count()
                                        >= majority
                                ? ConfirmationResult.CONFIRMED
                                : ConfirmationResult.WAITING,
                        Function.identity()))
                .isGreaterThan(0);
    }

    @Test
    void detectsARuleThatIgnoresTheTermOfTheLastEntry() {
        assertThat(firstSeedWithViolation(
                        (observations, majority, target, afterNanos) -> observations.stream()
                                                .map(MemberObservation::status)
                                                .filter(status -> status.term() == target.term()
                                                        && status.position().position() >= target.position())
                                                .count()
                                        >= majority
                                ? ConfirmationResult.CONFIRMED
                                : ConfirmationResult.WAITING,
                        Function.identity()))
                .isGreaterThan(0);
    }

    @Test
    void detectsAProposerThatFencesNoMajority() {
        AtomicInteger proposals = new AtomicInteger();
        Function<Database, Database> oneMember = database -> new Database(
                database.name(),
                List.of(database.members().get(proposals.getAndIncrement() % 3)),
                database.connectionLimit(),
                database.slots());
        assertThat(firstSeedWithViolation(PromotionInterleaving.MAJORITY_RULE, oneMember))
                .isGreaterThan(0);
    }

    /** Returns the first seed whose run shows a violation, 0 if none does. */
    private static long firstSeedWithViolation(
            PromotionInterleaving.ConfirmationRule rule, Function<Database, Database> fencedGroup) {
        return LongStream.rangeClosed(1, SEEDS)
                .filter(seed ->
                        !run(seed, 3, rule, fencedGroup).history.violations.isEmpty())
                .findFirst()
                .orElse(0);
    }

    private static PromotionInterleaving run(
            long seed, int size, PromotionInterleaving.ConfirmationRule rule, Function<Database, Database> fenced) {
        return new PromotionInterleaving(seed, size, rule, fenced).run(STEPS_PER_MEMBER * size);
    }
}
