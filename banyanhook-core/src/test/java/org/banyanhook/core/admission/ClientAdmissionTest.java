package org.banyanhook.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class ClientAdmissionTest {

    private static final long BUDGET = 8 << 20;

    private final ClientLimits limits =
            ClientLimits.builder(256 << 20, 32 << 20, 1_200).build();
    private final ClientAdmission admission = new ClientAdmission(limits);

    /** Guards against defaults that a client inside the limits meets, on the smallest machine of the two sites. */
    @Test
    void theDefaultsLeaveRoomForClientsInsideTheLimits() {
        ClientLimits smallest =
                ClientLimits.builder(282_000_000, 160 << 20, 2_167).build();
        ClientAdmission policy = new ClientAdmission(smallest);
        assertThat(smallest.memoryBytes()).isAtLeast(22 << 20);
        assertThat(smallest.maximumConnections()).isAtLeast(1_400);
        assertThat(policy.mayStart(1 << 20, 0)).isTrue();
        assertThat(policy.isUnderPressure(5L << 20, 500)).isFalse();
        assertThat(policy.suspendsReading(12, 12 * 200)).isFalse();
    }

    /** Guards against a client within its share that is closed while others are beyond theirs. */
    @Test
    void theLargestAreClosedFirstAndNoneWithinItsShare() {
        Random random = new Random(71);
        for (int round = 0; round < 200; round++) {
            List<ConnectionLoad> loads = new ArrayList<>();
            long total = 0;
            int size = 1 + random.nextInt(300);
            for (int number = 0; number < size; number++) {
                long held = random.nextInt(4) == 0 ? random.nextInt(2 << 20) : random.nextInt(2_000);
                total += held;
                loads.add(holding(number, "account", held, random.nextInt(8) == 0));
            }
            List<Long> selected = admission.selectToClose(loads, total);
            if (total <= BUDGET) {
                assertThat(selected).isEmpty();
                continue;
            }
            long freed = 0;
            for (long number : selected) {
                long held = loads.get((int) number).heldBytes();
                assertThat(held).isGreaterThan(Math.max(ClientAdmission.MINIMUM_SHARE_BYTES, BUDGET / size));
                freed += held;
            }
            assertThat(total - freed).isAtMost(BUDGET / 4 * 3);
        }
    }

    /** Guards against an account that exceeds the budget with many connections, each within its share. */
    @Test
    void connectionsWithinTheirShareAreClosedOfTheLargestAccountFirst() {
        List<ConnectionLoad> loads = new ArrayList<>();
        for (int number = 0; number < 400; number++) {
            loads.add(holding(number, number % 8 == 0 ? "small" : "large", 30_000, false));
        }
        List<Long> selected = admission.selectToClose(loads, 400 * 30_000);
        assertThat(selected).isNotEmpty();
        selected.forEach(number -> assertThat(number % 8).isNotEqualTo(0));
    }

    /** Guards against a statement that is cut off while connections without one hold as much. */
    @Test
    void connectionsWithARequestInProgressAreClosedLast() {
        List<ConnectionLoad> loads = List.of(
                holding(1, "a", 5 << 20, true), holding(2, "b", 4 << 20, false), holding(3, "c", 1 << 20, false));
        assertThat(admission.selectToClose(loads, 10 << 20)).containsExactly(2L);
    }

    /** Guards against large requests that are started without a bound, and against one that is never started. */
    @Test
    void largeRequestsInProgressAreBounded() {
        assertThat(admission.mayStart(1 << 20, 0)).isTrue();
        assertThat(admission.mayStart(1 << 20, 1 << 20)).isTrue();
        assertThat(admission.mayStart(1 << 20, 3 << 20)).isFalse();
        assertThat(admission.mayStart(1_000, 7 << 20)).isTrue();
    }

    /** Guards against one key whose sessions leave no connections to others. */
    @Test
    void sessionsOfOneKeyAreBounded() {
        assertThat(admission.mayOpenSession(limits.maximumConnections() / 2 - 1))
                .isTrue();
        assertThat(admission.mayOpenSession(limits.maximumConnections() / 2)).isFalse();
    }

    /** Guards against slow but honest messages that are closed, and slow ones that are kept under pressure. */
    @Test
    void onlyMessagesBelowTheMinimumRateAreClosed() {
        assertThat(admission.checkProgress(receiving(true, 1_000_000, 50_000))).isEmpty();
        assertThat(admission.checkProgress(receiving(true, 100, 4_000))).isEmpty();
        assertThat(admission.checkProgress(receiving(true, 100, 6_000)))
                .isEqualTo(Optional.of(ClientCloseReason.MESSAGE_SLOW));
        assertThat(admission.checkProgress(receiving(false, 0, 6_000)))
                .isEqualTo(Optional.of(ClientCloseReason.FIRST_MESSAGE_LATE));
        assertThat(admission.checkProgress(receiving(true, 0, 600_000))).isEmpty();
    }

    /** Guards against an open session that has to give way to a new connection. */
    @Test
    void theOldestConnectionWithoutASessionGivesWay() {
        assertThat(admission.isFull(limits.maximumConnections() - 1)).isFalse();
        assertThat(admission.isFull(limits.maximumConnections())).isTrue();
        assertThat(admission.selectToGiveWay(
                        List.of(receiving(true, 0, 9_000), receiving(false, 0, 10), receiving(false, 0, 20))))
                .isEqualTo(Optional.of(20L));
        assertThat(admission.selectToGiveWay(List.of(receiving(true, 0, 9_000))))
                .isEmpty();
    }

    private static ConnectionLoad holding(long number, String account, long bytes, boolean inProgress) {
        return new ConnectionLoad(number, account, bytes, inProgress, true, 1_000, 0, 0, 0);
    }

    /** A connection whose number is the time since it was accepted, in milliseconds. */
    private static ConnectionLoad receiving(boolean opened, long unfinishedBytes, long millis) {
        return new ConnectionLoad(
                millis,
                "",
                unfinishedBytes,
                false,
                opened,
                millis,
                unfinishedBytes,
                unfinishedBytes > 0 ? millis : 0,
                0);
    }
}
