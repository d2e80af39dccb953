package org.banyanhook.gateway.fleet;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.OutputStream;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.GatewayMetrics;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.port.StoreException;
import org.banyanhook.gateway.port.StoreLease;
import org.banyanhook.gateway.port.StorePage;
import org.banyanhook.gateway.port.StoreRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class StoreMirrorTest {

    private static final StoreLease LEASE = new StoreLease(0, 8);

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final MonotonicClock clock = new MonotonicClock(System::nanoTime, System::currentTimeMillis);
    private final DecisionLog log = new DecisionLog("vm", OutputStream.nullOutputStream(), System::nanoTime);
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final ScriptedRecordStore store = new ScriptedRecordStore();
    private final FleetDirectory directory = new FleetDirectory(new TextRecordCodec(), log, clock);
    private final StoreEras eras = new StoreEras(log);
    private final StoreMirror mirror = new StoreMirror(store, "", directory, eras, channel.eventLoop(), log, metrics);
    private final DaemonRegistration registration =
            new DaemonRegistration(store, "daemons/vm", new byte[0], mirror, channel.eventLoop(), clock, log, metrics);

    @BeforeEach
    void readAllRecords() {
        mirror.start();
        store.lists().get(0).complete(new StorePage(List.of(), revision(5), false));
    }

    @AfterEach
    void closeChannel() {
        channel.close();
        log.close();
    }

    @Test
    void recordThatCannotBeAppliedDoesNotEndTheWatch() {
        directory.addListener(() -> {
            if (directory.isEvacuated("odd")) {
                throw new ArithmeticException("long overflow");
            }
        });
        answerWatch(6, evacuation("odd", 6), evacuation("b", 6));
        assertThat(directory.isEvacuated("b")).isTrue();
        advanceSeconds(1);
        assertThat(newestWatch().afterRevision()).isEqualTo(revision(6));
        answerWatch(7, evacuation("c", 7));
        assertThat(directory.isEvacuated("c")).isTrue();
    }

    @Test
    void listenerThatFailsAfterTheListingDoesNotPreventTheWatch() {
        FleetDirectory failing = new FleetDirectory(new TextRecordCodec(), log, clock);
        failing.addListener(() -> {
            throw new IllegalStateException("expected by the test");
        });
        StoreMirror other = new StoreMirror(store, "", failing, eras, channel.eventLoop(), log, metrics);
        other.start();
        store.lists().get(1).complete(new StorePage(List.of(evacuation("a", 4)), revision(5), false));
        assertThat(other.isComplete()).isTrue();
        assertThat(store.watches()).hasSize(2);
    }

    /** Neither the watch nor the registration that waited for the listing was ever started. */
    @Test
    void firstReadingListenerThatFailsDoesNotPreventTheWatch() {
        StoreMirror other = new StoreMirror(store, "", directory, eras, channel.eventLoop(), log, metrics);
        other.onFirstReading(() -> {
            throw new IllegalStateException("expected by the test");
        });
        CompletableFuture<Void> reloaded = other.reloadAll();
        store.lists().get(1).complete(new StorePage(List.of(evacuation("a", 4)), revision(5), false));
        assertThat(reloaded.isDone()).isTrue();
        assertThat(store.watches()).hasSize(2);
    }

    /** What the store holds beyond the page was taken for removed. */
    @Test
    void truncatedPageWithoutRecordsIsReadAgain() {
        answerWatch(6, evacuation("a", 6));
        mirror.start();
        store.lists().get(1).complete(new StorePage(List.of(), revision(8), true));
        assertThat(directory.isEvacuated("a")).isTrue();
        advanceSeconds(1);
        assertThat(store.lists()).hasSize(3);
        store.lists().get(2).complete(new StorePage(List.of(evacuation("a", 6)), revision(8), false));
        assertThat(directory.isEvacuated("a")).isTrue();
    }

    /** The store loses a watch that it received while it was silent, but answers the next renewal of the lease. */
    @Test
    void watchLostByASilentStoreIsSentAgainWhenTheStoreAnswers() {
        register();
        advanceSeconds(1);
        store.renewals().get(0).completeExceptionally(noAnswer());
        advanceSeconds(1);
        store.renewals().get(1).complete(null);
        assertThat(store.watches()).hasSize(2);
        assertThat(newestWatch().afterRevision()).isEqualTo(revision(5));
        answerWatch(6, evacuation("a", 6));
        assertThat(directory.isEvacuated("a")).isTrue();
    }

    @Test
    void lateAnswerToTheReplacedWatchIsIgnored() {
        watchLostByASilentStoreIsSentAgainWhenTheStoreAnswers();
        int watches = store.watches().size();
        store.watches().get(0).answer().complete(new StorePage(List.of(), revision(5), false));
        advanceSeconds(1);
        assertThat(store.watches()).hasSize(watches + 1);
        assertThat(newestWatch().afterRevision()).isEqualTo(revision(6));
    }

    @Test
    void renewalsThatAllSucceedDoNotRepeatTheWatch() {
        register();
        for (int renewal = 0; renewal < 5; renewal++) {
            advanceSeconds(1);
            store.renewals().get(renewal).complete(null);
        }
        assertThat(store.watches()).hasSize(1);
    }

    /** All daemons of a large fleet start together; none of them may be woken by each of the others. */
    @Test
    void entriesOfDaemonsInALargeFleetAreFetchedTogether() {
        StoreRecord[] daemons = new StoreRecord[95];
        for (int number = 0; number < daemons.length; number++) {
            daemons[number] = new StoreRecord(
                    TextRecordCodec.DAEMON_PREFIX + "vm-" + number, revision(6 + number), new byte[] {'a'}, LEASE);
        }
        answerWatch(120, daemons);
        advanceMillis(1_300);
        assertThat(store.watches()).hasSize(1);
        advanceMillis(200);
        assertThat(store.watches()).hasSize(2);
        answerWatch(121, evacuation("a", 121));
        advanceMillis(700);
        assertThat(store.watches()).hasSize(3);
    }

    private void register() {
        registration.start();
        store.openedLeases().get(0).complete(LEASE);
        store.writes().get(0).complete(revision(6));
    }

    private void answerWatch(long revision, StoreRecord... changes) {
        newestWatch().answer().complete(new StorePage(List.of(changes), revision(revision), false));
    }

    private ScriptedRecordStore.Watch newestWatch() {
        return store.watches().get(store.watches().size() - 1);
    }

    private void advanceSeconds(long seconds) {
        advanceMillis(TimeUnit.SECONDS.toMillis(seconds));
    }

    private void advanceMillis(long millis) {
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    private static StoreRecord evacuation(String failureDomain, long revision) {
        return new StoreRecord(
                TextRecordCodec.EVACUATION_PREFIX + failureDomain, revision(revision), new byte[0], StoreLease.NONE);
    }

    private static StoreRevision revision(long number) {
        return new StoreRevision(0, number);
    }

    private static StoreException noAnswer() {
        return new StoreException(StoreException.Kind.NO_ANSWER, "expected by the test");
    }

    /** Guards against records of two eras that are taken for one reading when the store is restored twice. */
    @Test
    void readingThatIsInterruptedByARestoreIsDiscarded() {
        EraCheckedStore checked = new EraCheckedStore(store, eras);
        StoreMirror other = new StoreMirror(checked, "", directory, eras, channel.eventLoop(), log, metrics);
        eras.addListener(other::start);
        store.showEra(1);
        other.start();
        store.lists().get(1).complete(page(1, 9, true, "first"));
        assertThat(store.lists()).hasSize(3);
        store.showEra(2);
        store.showEra(3);
        store.lists().get(2).complete(page(1, 9, false, "first"));
        store.lists().get(3).complete(page(2, 7, false, "second"));
        assertThat(eras.hasReadNewest()).isFalse();
        assertThat(directory.isEvacuated("first")).isFalse();
        assertThat(directory.isEvacuated("second")).isFalse();
        store.lists().get(4).complete(page(3, 5, false, "third"));
        assertThat(eras.hasReadNewest()).isTrue();
        assertThat(directory.isEvacuated("third")).isTrue();
        assertThat(newestWatch().afterRevision()).isEqualTo(new StoreRevision(3, 5));
    }

    private static StorePage page(long era, long revision, boolean truncated, String evacuated) {
        StoreRecord record = new StoreRecord(
                TextRecordCodec.EVACUATION_PREFIX + evacuated,
                new StoreRevision(era, revision),
                new byte[0],
                StoreLease.NONE);
        return new StorePage(List.of(record), new StoreRevision(era, revision), truncated);
    }
}
