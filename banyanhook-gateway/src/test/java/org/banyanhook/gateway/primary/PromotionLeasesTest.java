package org.banyanhook.gateway.primary;

import static com.google.common.truth.Truth.assertThat;

import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.fleet.ScriptedRecordStore;
import org.banyanhook.gateway.fleet.TextRecordCodec;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.port.StoreException;
import org.banyanhook.gateway.port.StoreLease;
import org.banyanhook.gateway.port.StoreRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class PromotionLeasesTest {

    private final DecisionLog log = new DecisionLog("vm-1", OutputStream.nullOutputStream(), System::nanoTime);
    private long suspendedMillis;
    private final MonotonicClock clock =
            new MonotonicClock(System::nanoTime, () -> System.nanoTime() / 1_000_000 + suspendedMillis);
    private final ScriptedRecordStore store = new ScriptedRecordStore();
    private final TextRecordCodec recordCodec = new TextRecordCodec();
    private final FleetDirectory directory = new FleetDirectory(recordCodec, log, clock);
    private final PromotionLeases leases = new PromotionLeases("vm-1", store, recordCodec, directory, clock, log);

    @AfterEach
    void closeLog() {
        log.close();
    }

    /** All daemons restart while one of them holds the lease; none may wait until it expires. */
    @Test
    void leasesFromBeforeARestartAreEnded() {
        directory.apply(holder("orders", "vm-1", 3, 70));
        directory.apply(holder("stock", "vm-2", 4, 80));
        leases.endFormerLeases();
        assertThat(store.endedLeases()).containsExactly(lease(70));
    }

    @Test
    void leaseWhoseAnswerWasLostIsEndedBeforeItIsAcquiredAgain() throws Exception {
        CompletableFuture<StoreRevision> first = leases.lease("orders").acquire();
        store.openedLeases().get(0).complete(lease(70));
        store.writes()
                .get(0)
                .completeExceptionally(new StoreException(StoreException.Kind.NO_ANSWER, "expected by the test"));
        assertThat(first.isCompletedExceptionally()).isTrue();
        directory.apply(holder("orders", "vm-1", 3, 70));
        CompletableFuture<StoreRevision> second = leases.lease("orders").acquire();
        assertThat(store.endedLeases()).containsExactly(lease(70), lease(70));
        store.openedLeases().get(1).complete(lease(71));
        store.writes().get(1).complete(revision(9));
        assertThat(second.get(1, TimeUnit.SECONDS)).isEqualTo(revision(9));
        assertThat(leases.lease("orders").isHeld()).isTrue();
    }

    @Test
    void leaseOfAnotherDaemonIsNotEnded() {
        directory.apply(holder("orders", "vm-2", 3, 80));
        var unused = leases.lease("orders").acquire();
        assertThat(store.endedLeases()).isEmpty();
    }

    @Test
    void heldLeaseIsRenewedWithItsToken() throws Exception {
        var unused = leases.lease("orders").acquire();
        store.openedLeases().get(0).complete(lease(70));
        store.writes().get(0).complete(revision(9));
        directory.apply(holder("orders", "vm-1", 9, 70));
        CompletableFuture<StoreRevision> renewed = leases.lease("orders").acquire();
        store.renewals().get(0).complete(null);
        assertThat(renewed.get(1, TimeUnit.SECONDS)).isEqualTo(revision(9));
        assertThat(store.endedLeases()).isEmpty();
    }

    /** The lease may have expired in the store while the machine was suspended. */
    @Test
    void leaseIsNotHeldAfterASuspension() {
        acquireOrders();
        assertThat(leases.lease("orders").isHeld()).isTrue();
        suspendedMillis += 6_000;
        assertThat(leases.lease("orders").isHeld()).isFalse();
    }

    @Test
    void leaseThatWasRequestedBeforeASuspensionIsNotHeld() {
        var unused = leases.lease("orders").acquire();
        store.openedLeases().get(0).complete(lease(70));
        suspendedMillis += 6_000;
        store.writes().get(0).complete(revision(9));
        assertThat(leases.lease("orders").isHeld()).isFalse();
    }

    @Test
    void leaseWhoseRecordGotNoAnswerIsEndedSoThatALateWriteHasNoEffect() {
        var unused = leases.lease("orders").acquire();
        store.openedLeases().get(0).complete(lease(70));
        store.writes()
                .get(0)
                .completeExceptionally(new StoreException(StoreException.Kind.NO_ANSWER, "expected by the test"));
        assertThat(store.endedLeases()).containsExactly(lease(70));
    }

    private void acquireOrders() {
        var unused = leases.lease("orders").acquire();
        store.openedLeases().get(0).complete(lease(70));
        store.writes().get(0).complete(revision(9));
    }

    @Test
    void groupsHaveLeasesOfTheirOwn() {
        var unused = leases.lease("orders").acquire();
        store.openedLeases().get(0).complete(lease(70));
        store.writes().get(0).complete(revision(9));
        assertThat(leases.lease("orders").isHeld()).isTrue();
        assertThat(leases.lease("stock").isHeld()).isFalse();
    }

    private static StoreRecord holder(String group, String entryVm, long revision, long lease) {
        return new StoreRecord(
                TextRecordCodec.PROMOTION_LEASE_PREFIX + group,
                revision(revision),
                entryVm.getBytes(StandardCharsets.UTF_8),
                lease(lease));
    }

    private static StoreRevision revision(long number) {
        return new StoreRevision(0, number);
    }

    private static StoreLease lease(long id) {
        return new StoreLease(0, id);
    }

    /** Guards against a promotion under a lease that the store lost when it was restored from a copy. */
    @Test
    void leaseIsNotHeldAfterARestore() {
        acquireOrders();
        leases.dropAll();
        assertThat(leases.lease("orders").isHeld()).isFalse();
    }
}
