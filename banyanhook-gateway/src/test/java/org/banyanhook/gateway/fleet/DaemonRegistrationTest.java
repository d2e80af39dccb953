package org.banyanhook.gateway.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.gateway.GatewayFixture;
import org.banyanhook.gateway.operation.GatewayMetrics;
import org.banyanhook.gateway.port.StoreException;
import org.banyanhook.gateway.port.StoreLease;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class DaemonRegistrationTest {

    private static final StoreLease LEASE = new StoreLease(0, 8);

    private final GatewayFixture gateway = new GatewayFixture();
    private final ScriptedRecordStore store = new ScriptedRecordStore();
    private int contacts;
    private Optional<StoreLease> entryLease = Optional.empty();
    private final DaemonRegistration registration = new DaemonRegistration(
            store,
            "daemons/vm",
            new byte[0],
            new NoRecords(),
            gateway.eventLoop(),
            gateway.clock(),
            gateway.log(),
            new GatewayMetrics());

    @AfterEach
    void close() {
        gateway.close();
    }

    /** The first write may be executed after the second one; the entry must not end with a lease that nobody renews. */
    @Test
    void entryWhoseAnswerWasLostIsWrittenAgainUnderTheSameLease() {
        registration.start();
        store.openedLeases().get(0).complete(LEASE);
        store.writes().get(0).completeExceptionally(failure(StoreException.Kind.NO_ANSWER));
        gateway.advanceMillis(500);
        assertThat(store.writes()).hasSize(2);
        assertThat(store.openedLeases()).hasSize(1);
    }

    @Test
    void anotherLeaseIsOpenedIfTheFirstOneHasEnded() {
        registration.start();
        store.openedLeases().get(0).complete(LEASE);
        store.writes().get(0).completeExceptionally(failure(StoreException.Kind.LEASE_ENDED));
        gateway.advanceMillis(500);
        assertThat(store.openedLeases()).hasSize(2);
    }

    /** The clock does not count a suspension, in which the lease may have been revoked. */
    @Test
    void contactFromBeforeASuspensionDoesNotCount() {
        register();
        gateway.suspendMillis(5_000);
        assertThat(registration.nanosSinceContact()).isGreaterThan(TimeUnit.HOURS.toNanos(1));
        gateway.advanceMillis(1);
        assertThat(store.renewals()).hasSize(1);
        store.renewals().get(0).complete(null);
        assertThat(registration.nanosSinceContact()).isLessThan(TimeUnit.SECONDS.toNanos(1));
    }

    /** On-call engineers could not tell a start from a suspension by the log. */
    @Test
    void startSuspensionAndSilenceAreToldApart() {
        assertThat(registration.contact()).isEqualTo(StoreContact.NONE_SINCE_START);
        register();
        assertThat(registration.contact()).isEqualTo(StoreContact.MEASURED);
        gateway.suspendMillis(5_000);
        assertThat(registration.contact()).isEqualTo(StoreContact.SUSPENDED);
    }

    @Test
    void renewalThatWasSentBeforeASuspensionIsNoContact() {
        register();
        gateway.advanceMillis(1_000);
        assertThat(store.renewals()).hasSize(1);
        gateway.advanceMillis(1);
        gateway.suspendMillis(5_000);
        store.renewals().get(0).complete(null);
        assertThat(registration.nanosSinceContact()).isGreaterThan(TimeUnit.HOURS.toNanos(1));
    }

    /** The lease was never renewed again, so that the entry ended and this daemon used no primary any more. */
    @Test
    void listenerThatFailsDoesNotEndTheRenewals() {
        registration.onContact(() -> {
            throw new IllegalStateException("expected by the test");
        });
        register();
        gateway.advanceMillis(1_000);
        assertThat(store.renewals()).hasSize(1);
        store.renewals().get(0).completeExceptionally(failure(StoreException.Kind.NO_ANSWER));
        gateway.advanceMillis(500);
        assertThat(store.renewals()).hasSize(2);
        store.renewals().get(1).complete(null);
        gateway.advanceMillis(1_000);
        assertThat(store.renewals()).hasSize(3);
    }

    /**
     * The predecessor's write of the entry may be executed after that of this daemon. The entry then ends with the
     * lease of the predecessor, and the other daemons would not know of this one.
     */
    @Test
    void entryThatHasEndedWhileItsLeaseIsRenewedIsWrittenAgain() {
        registration.entryLease(() -> entryLease);
        entryLease = Optional.of(LEASE);
        register();
        renew(10);
        assertThat(store.writes()).hasSize(1);
        entryLease = Optional.of(new StoreLease(0, 7));
        renew(2);
        entryLease = Optional.empty();
        renew(3);
        assertThat(store.writes()).hasSize(2);
        assertThat(store.openedLeases()).hasSize(1);
        store.writes().get(1).complete(new StoreRevision(0, 9));
        entryLease = Optional.of(LEASE);
        renew(10);
        assertThat(store.writes()).hasSize(2);
    }

    private void renew(int times) {
        for (int number = 0; number < times; number++) {
            gateway.advanceMillis(1_000);
            store.renewals().forEach(renewal -> renewal.complete(null));
        }
    }

    private void register() {
        registration.start();
        store.openedLeases().get(0).complete(LEASE);
        store.writes().get(0).complete(new StoreRevision(0, 3));
        gateway.advanceMillis(1);
        assertThat(registration.nanosSinceContact()).isLessThan(TimeUnit.SECONDS.toNanos(1));
    }

    private static StoreException failure(StoreException.Kind kind) {
        return new StoreException(kind, "expected by the test");
    }

    private static final class NoRecords implements DaemonRegistration.RecordReader {

        @Override
        public CompletableFuture<Void> reloadAll() {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public void restartWatch() {
            // There is no watch.
        }
    }

    /**
     * Guards against a lease that is renewed although its identifier may belong to another daemon now, and against the
     * use of a primary by a daemon that nobody can shut out.
     */
    @Test
    void entryIsWrittenAgainUnderANewLeaseAfterARestore() {
        register();
        registration.onContact(() -> contacts++);
        gateway.advanceMillis(900);
        registration.onStoreRestored();
        gateway.advanceMillis(2_000);
        assertThat(registration.nanosSinceContact()).isAtLeast(TimeUnit.MILLISECONDS.toNanos(2_900));
        assertThat(contacts).isEqualTo(0);
        assertThat(store.renewals()).isEmpty();
        assertThat(store.openedLeases()).hasSize(2);
        store.openedLeases().get(1).complete(new StoreLease(2, 8));
        store.writes().get(1).complete(new StoreRevision(2, 3));
        assertThat(registration.nanosSinceContact()).isLessThan(TimeUnit.MILLISECONDS.toNanos(2_500));
        assertThat(contacts).isEqualTo(1);
        gateway.advanceMillis(1_000);
        assertThat(store.renewals()).hasSize(1);
    }

    /** Guards against two chains of renewals after two restores within seconds, and against a late renewal's answer. */
    @Test
    void secondRestoreReplacesTheFirst() {
        register();
        gateway.advanceMillis(1_000);
        registration.onStoreRestored();
        store.renewals().get(0).complete(null);
        assertThat(registration.nanosSinceContact()).isAtLeast(TimeUnit.SECONDS.toNanos(1));
        gateway.advanceMillis(1);
        registration.onStoreRestored();
        store.openedLeases().get(1).completeExceptionally(failure(StoreException.Kind.NO_ANSWER));
        gateway.advanceMillis(1);
        assertThat(store.openedLeases()).hasSize(3);
        store.openedLeases().get(2).complete(new StoreLease(3, 8));
        store.writes().get(1).complete(new StoreRevision(3, 3));
        gateway.advanceMillis(1_000);
        assertThat(store.openedLeases()).hasSize(3);
        assertThat(store.renewals()).hasSize(2);
    }
}
