package org.banyanhook.gateway.usage;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.core.usage.UsageReportSchedule.Report;
import org.banyanhook.gateway.fleet.TextRecordCodec;
import org.banyanhook.gateway.port.RecordStore;
import org.banyanhook.gateway.port.StoreException;
import org.banyanhook.gateway.port.StoreLease;
import org.banyanhook.gateway.port.StorePage;
import org.banyanhook.gateway.port.StoreRecord;
import org.junit.jupiter.api.Test;

final class UsageLedgerTest {

    private final RestoredStore store = new RestoredStore();
    private final UsageLedger former = newLedger();
    private final UsageLedger successor = newLedger();

    /** Guards against a second, different report of a window whose decision was overwritten in the new era. */
    @Test
    void writeUnderAConditionOfAnOlderEraDoesNotReplaceWhatIsDecidedInTheNewOne() {
        former.read().join();
        former.write(token(1), List.of(report(1))).join();
        store.restoreEmpty();
        assertThat(successor.read().join()).isEmpty();
        successor.write(token(2), List.of(report(2))).join();
        assertThat(former.write(token(1), List.of(report(3))).isCompletedExceptionally())
                .isTrue();
        assertThat(newLedger().read().join().keySet()).containsExactly(2L);
        successor.write(token(2), List.of(report(4))).join();
    }

    /** Guards against windows being decided again because the copy contains them under the older era. */
    @Test
    void decisionsInTheCopyApplyUntilTheFirstOneOfTheNewEra() {
        former.read().join();
        former.write(token(1), List.of(report(1))).join();
        store.beginEra();
        assertThat(successor.read().join().keySet()).containsExactly(1L);
        successor.write(token(2), List.of(report(1), report(2))).join();
        assertThat(newLedger().read().join().keySet()).containsExactly(1L, 2L);
    }

    private UsageLedger newLedger() {
        return new UsageLedger(store, new TextRecordCodec()::usageDecisionsKey);
    }

    private static long token(long era) {
        return new StoreRevision(era, 1).fencingToken();
    }

    private static Report report(long window) {
        return new Report(window, new TreeMap<>());
    }

    /** A store that compares only the numbers of revisions, as the platform's does. */
    private static final class RestoredStore implements RecordStore {
        private final TreeMap<String, StoreRecord> records = new TreeMap<>();
        private long era = 1;
        private long number;

        void beginEra() {
            era++;
        }

        void restoreEmpty() {
            beginEra();
            records.clear();
            number = 0;
        }

        @Override
        public CompletableFuture<StorePage> list(String prefix, Optional<String> afterKey) {
            return CompletableFuture.completedFuture(
                    new StorePage(List.copyOf(records.values()), new StoreRevision(era, number), false));
        }

        @Override
        public CompletableFuture<StoreRevision> put(
                String key, byte[] value, Optional<StoreRevision> expectedRevision, StoreLease lease) {
            StoreRecord present = records.get(key);
            long current = present == null ? 0 : present.revision().number();
            if (expectedRevision.orElseThrow().number() != current) {
                return CompletableFuture.failedFuture(new StoreException(StoreException.Kind.CONFLICT, key));
            }
            StoreRevision written = new StoreRevision(era, ++number);
            records.put(key, new StoreRecord(key, written, value, lease));
            return CompletableFuture.completedFuture(written);
        }

        @Override
        public CompletableFuture<StorePage> watch(String prefix, StoreRevision afterRevision, Duration maximumWait) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<StoreRevision> putGuarded(
                String key, byte[] value, StoreRevision expectedRevision, Map<String, StoreRevision> guards) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<StoreLease> openLease(Duration timeToLive) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<Void> renewLease(StoreLease lease) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<Void> endLease(StoreLease lease) {
            throw new UnsupportedOperationException();
        }
    }
}
