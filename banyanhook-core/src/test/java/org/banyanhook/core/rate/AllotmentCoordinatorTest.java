package org.banyanhook.core.rate;

import static com.google.common.truth.Truth.assertThat;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.banyanhook.core.rate.AllotmentAction.QueryReclaim;
import org.banyanhook.core.rate.AllotmentAction.SwapRecord;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/**
 * Tests the allotment of one holder under lost contact, marks, failed swaps and reclaims. Guards against two processes
 * that use the same units. Times are in seconds.
 */
final class AllotmentCoordinatorTest {

    private static final long SECOND = 1_000_000_000;
    private static final RateTimings TIMINGS =
            new RateTimings(10 * SECOND, 15 * SECOND, 30 * SECOND, SECOND / 5, SECOND / 4);
    private static final ReclaimMark MARK = new ReclaimMark("b", 77);
    private static final AllotmentRecord ALL_UNITS_HELD_BY_A = record("a", 7, null);

    private final AllotmentCoordinator coordinator = new AllotmentCoordinator("a", 7, TIMINGS, 0);
    private long revision;

    @Test
    void usesClaimedUnitsOnlyAfterReadingThemInTheRecord() {
        read(AllotmentRecord.EMPTY, 0);
        SwapRecord claim = nextSwap(1, "a").orElseThrow();
        assertThat(claim.record().units("a", 3)).isEqualTo(AllotmentRecord.UNITS_PER_GROUP);
        assertThat(coordinator.usableUnits(3)).isEqualTo(0);
        coordinator.onSwapFailed(2 * SECOND);
        assertThat(coordinator.usableUnits(3)).isEqualTo(0);
        read(claim.record(), 3);
        assertThat(coordinator.usableUnits(3)).isEqualTo(AllotmentRecord.UNITS_PER_GROUP);
    }

    @Test
    void leaseExpiresWithoutARenewalAlsoAfterAPause() {
        read(ALL_UNITS_HELD_BY_A, 1);
        assertThat(coordinator.isLeaseValid(10 * SECOND)).isTrue();
        assertThat(coordinator.isLeaseValid(11 * SECOND)).isFalse();
        coordinator.onRenewalAnswered(false, 12 * SECOND);
        assertThat(coordinator.isLeaseValid(13 * SECOND)).isFalse();
        coordinator.onRenewalAnswered(true, 12 * SECOND);
        assertThat(coordinator.isLeaseValid(13 * SECOND)).isTrue();
        assertThat(coordinator.isLeaseValid(22 * SECOND)).isFalse();
    }

    /** A daemon that is alone in its failure domain could refuse every request 2.6 s after the platform failed. */
    @Test
    void leaseOfAProcessWithoutPeersLastsForThreeQuartersOfItsLengthWhenThePlatformFails() {
        read(ALL_UNITS_HELD_BY_A, 0);
        for (long tenth = 1; tenth <= 600; tenth++) {
            long now = tenth * SECOND / 10;
            if (coordinator.onTick(List.of("a"), 0, now).contains(new AllotmentAction.ReadRecord())) {
                coordinator.onRecordRead(ALL_UNITS_HELD_BY_A, revision, now, now);
            }
            assertThat(coordinator.leaseExpiryNanos() - now).isAtLeast(74 * SECOND / 10);
        }
    }

    @Test
    void ignoresAnOlderRevision() {
        read(ALL_UNITS_HELD_BY_A, 1);
        coordinator.onRecordRead(AllotmentRecord.EMPTY, revision - 1, 5 * SECOND, 5 * SECOND);
        assertThat(coordinator.usableUnits(0)).isEqualTo(AllotmentRecord.UNITS_PER_GROUP);
        assertThat(coordinator.isLeaseValid(12 * SECOND)).isFalse();
    }

    @Test
    void markedHolderDoesNotRenewItsLeaseAndRemovesTheMark() {
        read(ALL_UNITS_HELD_BY_A, 1);
        read(record("a", 7, MARK), 8);
        coordinator.onRenewalAnswered(true, 9 * SECOND);
        assertThat(coordinator.isLeaseValid(11 * SECOND)).isFalse();
        assertThat(coordinator.onTick(List.of("a", "b"), 0, 12 * SECOND)).contains(new AllotmentAction.ReadRecord());
        read(record("a", 7, MARK), 13);
        SwapRecord swap = nextSwap(13, "a", "b").orElseThrow();
        assertThat(swap.record()).isEqualTo(ALL_UNITS_HELD_BY_A);
    }

    @Test
    void doesNotUseTheEntryOfAnotherProcessOfTheSameName() {
        read(record("a", 8, null), 1);
        assertThat(coordinator.usableUnits(0)).isEqualTo(0);
        assertThat(coordinator.isLeaseValid(2 * SECOND)).isFalse();
        assertThat(nextSwap(60, "a", "b")).isEmpty();
    }

    @Test
    void stopsUsingUnitsBeforeReleasingThem() {
        read(ALL_UNITS_HELD_BY_A, 0);
        coordinator.onRenewalAnswered(true, 2 * SECOND);
        coordinator.onTick(List.of("a", "b"), 0, SECOND);
        assertThat(nextSwapAtNanos(2 * SECOND, "a", "b")).isEmpty();
        assertThat(coordinator.usableUnits(0)).isEqualTo(420);
        SwapRecord release = nextSwapAtNanos(2 * SECOND + SECOND / 4, "a", "b").orElseThrow();
        assertThat(release.record().units("a", 0)).isEqualTo(420);
        coordinator.onSwapFailed(3 * SECOND);
        read(ALL_UNITS_HELD_BY_A, 4);
        assertThat(coordinator.usableUnits(0)).isEqualTo(420);
    }

    @Test
    void releasesOnlyAfterTheReservationsOfLentTokensEnd() {
        read(ALL_UNITS_HELD_BY_A, 0);
        coordinator.releaseAll(SECOND);
        assertThat(coordinator.usableUnits(0)).isEqualTo(0);
        assertThat(nextSwapAtNanos(SECOND + SECOND / 5, "b")).isEmpty();
        SwapRecord swap = nextSwap(2, "b").orElseThrow();
        coordinator.onSwapped(swap.record(), ++revision, 2 * SECOND, 2 * SECOND);
        assertThat(coordinator.isReleased()).isTrue();
    }

    @Test
    void reclaimsOnlyAfterTheDelayAndWithAllConfirmations() {
        read(record("x", 5, null), 0);
        coordinator.onVirtualMachinesRead(List.of("a", "b", "c"), 0);
        assertThat(nextSwapOfOther(29)).isEmpty();
        SwapRecord mark = nextSwapOfOther(31).orElseThrow();
        assertThat(mark.record().entry("x").orElseThrow().mark()).isNotNull();
        coordinator.onSwapped(mark.record(), ++revision, 31 * SECOND, 31 * SECOND);
        assertThat(queries(45)).isEmpty();
        assertThat(queries(47)).containsExactly(new QueryReclaim("b", "x", 5), new QueryReclaim("c", "x", 5));
        coordinator.onReclaimQueryAnswered("b", "x", 5, true);
        assertThat(nextSwapOfOther(48)).isEmpty();
        coordinator.onReclaimQueryAnswered("c", "x", 5, false);
        coordinator.onReclaimQueryAnswered("c", "x", 5, true);
        assertThat(nextSwapOfOther(48)).isEmpty();
        assertThat(queries(50)).hasSize(2);
        coordinator.onReclaimQueryAnswered("b", "x", 5, true);
        coordinator.onReclaimQueryAnswered("c", "x", 5, true);
        assertThat(nextSwapOfOther(51).orElseThrow().record()).isEqualTo(AllotmentRecord.EMPTY);
    }

    @Test
    void reclaimsNothingWithoutAConfirmation() {
        read(record("x", 5, MARK), 0);
        coordinator.onVirtualMachinesRead(List.of("a"), 0);
        for (int second = 1; second < 300; second++) {
            assertThat(coordinator.onTick(List.of("a"), 0, second * SECOND).stream()
                            .filter(action -> action instanceof SwapRecord swap
                                    && swap.record().entry("x").isEmpty()))
                    .isEmpty();
            coordinator.onSwapFailed(second * SECOND);
            read(record("x", 5, MARK), second);
        }
    }

    @Test
    void renewsPeerLeasesOnlyForUnmarkedHoldersInItsOwnRecord() {
        assertThat(coordinator.answerRenewal("x", 5, SECOND)).isFalse();
        read(record("x", 5, null), 1);
        assertThat(coordinator.answerRenewal("x", 4, 2 * SECOND)).isFalse();
        assertThat(coordinator.answerRenewal("x", 5, 2 * SECOND)).isTrue();
        assertThat(coordinator.answerReclaimQuery("x", 5, 40 * SECOND)).isLessThan(0L);
        read(record("x", 5, MARK), 3);
        assertThat(coordinator.answerRenewal("x", 5, 4 * SECOND)).isFalse();
        assertThat(coordinator.answerReclaimQuery("x", 5, 40 * SECOND)).isEqualTo(38 * SECOND);
    }

    private void read(AllotmentRecord record, long second) {
        coordinator.onRecordRead(record, ++revision, second * SECOND, second * SECOND);
    }

    private Optional<SwapRecord> nextSwap(long second, String... running) {
        return nextSwapAtNanos(second * SECOND, running);
    }

    private Optional<SwapRecord> nextSwapAtNanos(long nanos, String... running) {
        return coordinator.onTick(List.of(running), 0, nanos).stream()
                .filter(SwapRecord.class::isInstance)
                .map(SwapRecord.class::cast)
                .findFirst();
    }

    /** Returns the next change to the entry of "x". "a" is not among the running entry VMs, so it claims no units. */
    private Optional<SwapRecord> nextSwapOfOther(long second) {
        return nextSwap(second, "b");
    }

    private List<QueryReclaim> queries(long second) {
        return coordinator.onTick(List.of("b"), 0, second * SECOND).stream()
                .filter(QueryReclaim.class::isInstance)
                .map(QueryReclaim.class::cast)
                .toList();
    }

    private static AllotmentRecord record(String name, long incarnation, @Nullable ReclaimMark mark) {
        List<Integer> all = Collections.nCopies(AllotmentRecord.GROUP_COUNT, AllotmentRecord.UNITS_PER_GROUP);
        return AllotmentRecord.of(List.of(new AllotmentEntry(name, incarnation, all, mark)));
    }
}
