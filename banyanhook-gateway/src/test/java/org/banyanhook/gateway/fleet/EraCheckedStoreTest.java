package org.banyanhook.gateway.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.io.OutputStream;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.port.StoreException;
import org.banyanhook.gateway.port.StoreLease;
import org.banyanhook.gateway.port.StorePage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class EraCheckedStoreTest {

    private static final byte[] VALUE = new byte[0];
    private static final StoreRevision OLD_REVISION = new StoreRevision(1, 9);
    private static final StoreLease OLD_LEASE = new StoreLease(1, 7);

    private final DecisionLog log = new DecisionLog("vm", OutputStream.nullOutputStream(), System::nanoTime);
    private final StoreEras eras = new StoreEras(log);
    private final ScriptedRecordStore script = new ScriptedRecordStore();
    private final EraCheckedStore store = new EraCheckedStore(script, eras);
    private int restores;

    @BeforeEach
    void start() {
        eras.addListener(() -> restores++);
        script.showEra(1);
    }

    @AfterEach
    void close() {
        log.close();
    }

    /** Guards against a daemon that drops everything at its start, and against a late answer taken for a restore. */
    @Test
    void onlyARisingEraIsARestore() {
        assertThat(restores).isEqualTo(0);
        script.showEra(1);
        script.showEra(3);
        script.showEra(2);
        script.showEra(0);
        assertThat(restores).isEqualTo(1);
        assertThat(eras.newest()).isEqualTo(3);
        eras.recordReading(1);
        assertThat(eras.mayDecideIn(3)).isFalse();
        eras.recordReading(3);
        assertThat(eras.mayDecideIn(3)).isTrue();
        assertThat(eras.mayDecideIn(1)).isFalse();
    }

    /** Guards against ending or renewing the lease of another daemon, which has the identifier of a lost one. */
    @Test
    void leaseAndRevisionOfAnOlderEraAreNotSent() {
        script.showEra(2);
        assertFailed(StoreException.Kind.LEASE_ENDED, store.renewLease(OLD_LEASE));
        assertFailed(StoreException.Kind.LEASE_ENDED, store.endLease(OLD_LEASE));
        assertFailed(StoreException.Kind.LEASE_ENDED, store.put("a", VALUE, Optional.empty(), OLD_LEASE));
        assertFailed(StoreException.Kind.CONFLICT, store.put("a", VALUE, Optional.of(OLD_REVISION), StoreLease.NONE));
        assertFailed(
                StoreException.Kind.CONFLICT,
                store.putGuarded("a", VALUE, StoreRevision.NONE, Map.of("b", OLD_REVISION)));
        assertFailed(StoreException.Kind.HISTORY_LOST, store.watch("", OLD_REVISION, Duration.ZERO));
        assertThat(script.renewals()).isEmpty();
        assertThat(script.endedLeases()).isEmpty();
        assertThat(script.writes()).isEmpty();
        assertThat(script.watches()).isEmpty();
    }

    /** Guards against the use of what an earlier era answered, or of a write that met another record's revision. */
    @Test
    void callFromBeforeTheRestoreHasNoAnswer() {
        CompletableFuture<StorePage> list = store.list("", Optional.empty());
        CompletableFuture<StoreRevision> write =
                store.putGuarded("a", VALUE, OLD_REVISION, Map.of("b", new StoreRevision(1, 8)));
        CompletableFuture<StoreLease> open = store.openLease(Duration.ofSeconds(5));
        CompletableFuture<Void> renewal = store.renewLease(OLD_LEASE);
        script.showEra(2);
        script.lists().get(0).complete(new StorePage(List.of(), OLD_REVISION, false));
        script.writes().get(0).complete(new StoreRevision(2, 10));
        script.openedLeases().get(0).complete(OLD_LEASE);
        script.renewals().get(0).complete(null);
        assertFailed(StoreException.Kind.NO_ANSWER, list);
        assertFailed(StoreException.Kind.NO_ANSWER, write);
        assertFailed(StoreException.Kind.NO_ANSWER, open);
        assertFailed(StoreException.Kind.LEASE_ENDED, renewal);
    }

    private static void assertFailed(StoreException.Kind kind, CompletableFuture<?> call) {
        Throwable failure = call.handle((result, thrown) -> thrown).join();
        assertThat(StoreException.kind(failure)).isEqualTo(kind);
    }
}
