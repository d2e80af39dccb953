package org.banyanhook.gateway.reader;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.configuration.GroupLimits;
import org.banyanhook.core.configuration.SessionConfiguration;
import org.banyanhook.core.store.StoreReaders;
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.daemon.peer.PeerException;
import org.banyanhook.daemon.peer.PeerMessageHandler;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.gateway.fleet.EraCheckedStore;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.fleet.ScriptedRecordStore;
import org.banyanhook.gateway.fleet.StoreEras;
import org.banyanhook.gateway.fleet.TextRecordCodec;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.GatewayMetrics;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.port.DaemonEntry;
import org.banyanhook.gateway.port.FleetRecord;
import org.banyanhook.gateway.port.StoreLease;
import org.banyanhook.gateway.port.StorePage;
import org.banyanhook.gateway.port.StoreRecord;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the watches of the daemons of one failure domain, each with its own view of the store. */
final class ReaderBackedStoreTest {

    private static final List<String> NAMES = List.of("vm-1", "vm-2", "vm-3", "vm-4");
    private static final List<String> READERS = StoreReaders.select("east", NAMES);
    private static final Duration WAIT = Duration.ofSeconds(9);

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final DecisionLog log = new DecisionLog("vm", OutputStream.nullOutputStream(), System::nanoTime);
    private final Map<String, Daemon> daemons = new HashMap<>();
    private final List<String> unreachable = new ArrayList<>();
    private long nowNanos;

    @AfterEach
    void close() {
        channel.close();
        log.close();
    }

    /** Small fleets are served as before. */
    @Test
    void fleetWithinTheConnectionLimitsAsksTheStore() {
        startAll(NAMES.size());
        Daemon follower = follower();
        var unused = follower.watch(5);
        assertThat(follower.store.watches()).hasSize(1);
    }

    /** A change costs one call for each reader, and none for the other daemons. */
    @Test
    void changesOfAReaderReachTheOthersWithoutACall() {
        startAll(1);
        READERS.forEach(reader -> daemon(reader).readUpTo(5));
        CompletableFuture<StorePage> answer = follower().watch(5);
        READERS.forEach(reader -> daemon(reader).answerWatch(0, 7, "evacuations/a", 6));
        advanceMillis(1);
        assertThat(result(answer).revision()).isEqualTo(revision(0, 7));
        assertThat(result(answer).records().get(0).revision()).isEqualTo(revision(0, 6));
        assertThat(follower().mainWatches()).isEqualTo(0);
    }

    /**
     * A promotion record that a reader had delayed would let a daemon in contact with the store use the old primary.
     */
    @Test
    void promotionsAreReadFromTheStoreItself() {
        startAll(1);
        READERS.forEach(reader -> daemon(reader).readUpTo(5));
        Daemon follower = follower();
        CompletableFuture<StorePage> answer = follower.watch(5);
        follower.answerWatch(0, 9, TextRecordCodec.PROMOTION_PREFIX + "group", 9);
        assertThat(follower.directory.recordedPrimary("group")).hasValue("value");
        assertThat(answer.isDone()).isFalse();
    }

    /** Guards against changes that a dead or frozen reader keeps back. */
    @Test
    void silentReaderIsReplacedByTheStoreAndThenByTheOtherReader() {
        startAll(1);
        READERS.forEach(reader -> daemon(reader).readUpTo(5));
        Daemon follower = follower();
        unreachable.addAll(READERS);
        CompletableFuture<StorePage> answer = follower.watch(5);
        advanceMillis(StoreReaders.ANSWER_TIMEOUT.toMillis() + 1);
        assertThat(follower.mainWatches()).isEqualTo(1);
        follower.answerWatch(0, 7, "evacuations/a", 6);
        assertThat(result(answer).revision()).isEqualTo(revision(0, 7));
        unreachable.clear();
        READERS.forEach(reader -> daemon(reader).answerWatch(0, 8, "evacuations/b", 8));
        assertThat(result(follower.watch(7)).revision()).isEqualTo(revision(0, 8));
    }

    /** What a thawed reader reads first may be as old as its pause. */
    @Test
    void readerIsUnavailableAfterAPauseUntilTheStoreHasAnsweredAgain() {
        startAll(1);
        Daemon reader = daemon(READERS.get(0));
        reader.watch(5);
        reader.answerWatch(0, 7, "evacuations/a", 6);
        assertThat(isAvailable(reader, "vm-x", 0, 5)).isTrue();
        reader.watch(7);
        nowNanos += TimeUnit.MILLISECONDS.toNanos(1_200);
        assertThat(isAvailable(reader, "vm-x", 0, 5)).isFalse();
        reader.answerWatch(0, 8, "evacuations/b", 8);
        assertThat(isAvailable(reader, "vm-x", 0, 5)).isFalse();
        reader.watch(8);
        reader.answerWatch(0, 9, "evacuations/c", 9);
        assertThat(isAvailable(reader, "vm-x", 0, 5)).isTrue();
    }

    /** No change may pass through two readers, or with a gap, or from another era. */
    @Test
    void requestsThatCannotBeAnsweredCompletelyAreRefused() {
        startAll(1);
        Daemon reader = daemon(READERS.get(0));
        reader.watch(5);
        reader.answerWatch(0, 7, "evacuations/a", 6);
        assertThat(isAvailable(reader, READERS.get(1), 0, 5)).isFalse();
        assertThat(isAvailable(reader, "vm-x", 0, 4)).isFalse();
        assertThat(isAvailable(reader, "vm-x", 1, 5)).isFalse();
        reader.store.showEra(1);
        assertThat(isAvailable(reader, "vm-x", 0, 5)).isFalse();
    }

    private boolean isAvailable(Daemon reader, String sender, long era, long after) {
        CompletableFuture<PeerEnvelope> answer =
                reader.requests.handle(ChangeMessages.request(revision(era, after)).toBuilder()
                        .setSenderEntryVm(sender)
                        .build());
        channel.runPendingTasks();
        return !result(answer).getStoreChanges().getUnavailable();
    }

    private static <T> T result(CompletableFuture<T> answer) {
        assertThat(answer.isDone()).isTrue();
        return answer.join();
    }

    private void startAll(int connectionLimit) {
        NAMES.forEach(name -> daemons.put(name, new Daemon(name, connectionLimit)));
    }

    private Daemon daemon(String name) {
        Daemon found = daemons.get(name);
        if (found == null) {
            throw new IllegalArgumentException(name);
        }
        return found;
    }

    private Daemon follower() {
        return daemon(NAMES.stream()
                .filter(name -> !READERS.contains(name))
                .findFirst()
                .orElseThrow());
    }

    private void advanceMillis(long millis) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        channel.runPendingTasks();
    }

    private static StoreRevision revision(long era, long number) {
        return new StoreRevision(era, number);
    }

    private final class Daemon implements PeerMessenger {
        private final ScriptedRecordStore store = new ScriptedRecordStore();
        private final StoreEras eras = new StoreEras(log);
        private final MonotonicClock clock =
                new MonotonicClock(() -> nowNanos, () -> TimeUnit.NANOSECONDS.toMillis(nowNanos));
        private final TextRecordCodec codec = new TextRecordCodec();
        private final FleetDirectory directory = new FleetDirectory(codec, log, clock);
        private final ReaderBackedStore backedStore;
        private PeerMessageHandler requests = message -> new CompletableFuture<>();

        Daemon(String name, int connectionLimit) {
            codec.prepare(
                    "config",
                    new FleetRecord.Configuration(new SessionConfiguration(
                            1,
                            List.of(),
                            Map.of(),
                            Map.of(),
                            Map.of("group", new GroupLimits("group", connectionLimit, 0, 0)),
                            1)));
            directory.apply(record("config", 0, 1));
            for (String other : NAMES) {
                directory.apply(new StoreRecord(
                        codec.daemonKey(other),
                        revision(0, 2),
                        "east".getBytes(StandardCharsets.UTF_8),
                        StoreLease.NONE));
            }
            store.showEra(0);
            this.backedStore = new ReaderBackedStore(new ReaderBackedStore.Context(
                    new DaemonEntry(name, "east", name),
                    new EraCheckedStore(store, eras),
                    codec,
                    this,
                    directory,
                    eras,
                    channel.eventLoop(),
                    clock,
                    log,
                    new GatewayMetrics()));
        }

        /** Reads from the store up to a revision, and watches for later changes. */
        private void readUpTo(long number) {
            var unused = watch(number);
            newestWatch().answer().complete(new StorePage(List.of(), revision(0, number), false));
            unused = watch(number);
        }

        private ScriptedRecordStore.Watch newestWatch() {
            return store.watches().get(store.watches().size() - 1);
        }

        private CompletableFuture<StorePage> watch(long after) {
            CompletableFuture<StorePage> answer = backedStore.watch("", revision(0, after), WAIT);
            channel.runPendingTasks();
            return answer;
        }

        /** Returns the number of watches of all records; the first watch of a follower is that of promotions. */
        private int mainWatches() {
            return store.watches().size() - 1;
        }

        private void answerWatch(long era, long revision, String key, long changed) {
            newestWatch()
                    .answer()
                    .complete(new StorePage(List.of(record(key, era, changed)), revision(era, revision), false));
            channel.runPendingTasks();
        }

        private static StoreRecord record(String key, long era, long revision) {
            return new StoreRecord(
                    key, revision(era, revision), "value".getBytes(StandardCharsets.UTF_8), StoreLease.NONE);
        }

        @Override
        public CompletableFuture<PeerEnvelope> request(String peerAddress, PeerEnvelope body, Duration timeout) {
            CompletableFuture<PeerEnvelope> answer = unreachable.contains(peerAddress)
                    ? new CompletableFuture<>()
                    : daemon(peerAddress).requests.handle(body);
            var unused = channel.eventLoop()
                    .schedule(
                            () -> answer.completeExceptionally(new PeerException("expected by the test", true)),
                            timeout.toMillis(),
                            TimeUnit.MILLISECONDS);
            return answer;
        }

        @Override
        public void send(String peerAddress, PeerEnvelope body) {}

        @Override
        public void registerHandler(PeerEnvelope.BodyCase kind, PeerMessageHandler handler) {
            requests = handler;
        }
    }
}
