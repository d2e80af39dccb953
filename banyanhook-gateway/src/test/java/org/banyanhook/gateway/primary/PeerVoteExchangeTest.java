package org.banyanhook.gateway.primary;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.DefaultEventLoop;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.banyanhook.core.primary.VoterMaintenance;
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.daemon.peer.PeerMessageHandler;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.fleet.StoreEras;
import org.banyanhook.gateway.fleet.TextRecordCodec;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.port.FleetRecord;
import org.banyanhook.gateway.port.StoreLease;
import org.banyanhook.gateway.port.StoreRecord;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class PeerVoteExchangeTest {

    private static final StoreRevision REVISION = new StoreRevision(0, 12);

    private final DefaultEventLoop eventLoop = new DefaultEventLoop();
    private final DecisionLog log = new DecisionLog("vm", OutputStream.nullOutputStream(), System::nanoTime);
    private final MonotonicClock clock = MonotonicClock.ofSystem();
    private final Map<String, PeerMessageHandler> handlers = new HashMap<>();
    private final Map<String, StoreEras> erasByDaemon = new HashMap<>();
    private final TextRecordCodec recordCodec = new TextRecordCodec();
    private final Map<String, FixedStoreProgress> progressByDaemon = new HashMap<>();
    private final List<StoreRecord> recordedVoters = new ArrayList<>();
    private final Set<String> votes = new HashSet<>();
    private final Map<String, FleetRecord.Promotion> learned = new HashMap<>();

    @AfterEach
    void stop() {
        eventLoop.shutdownGracefully();
        log.close();
    }

    @Test
    void collectsTheVotesOfAllKnownDaemons() throws Exception {
        daemon("vm-2", "vm-1");
        PeerVoteExchange.RoundResult result =
                daemon("vm-1", "vm-2", "vm-4").requestVotes("orders", false).get(5, TimeUnit.SECONDS);
        assertThat(result.votes().unreachable()).isEqualTo(1);
        assertThat(result.unresponsive()).containsExactly("vm-4");
        assertThat(votes).containsExactly("vm-2 votes on orders");
    }

    /**
     * A daemon without contact to the store relies on the answers of the others. One that has started since does not
     * know of it, but must not replace a primary that it may still use.
     */
    @Test
    void daemonThatOnlyAVoterKnowsCountsAsUnresponsive() throws Exception {
        recordedVoters.add(votersRecord(2, "1;vm-1,vm-2"));
        daemon("vm-2", "vm-1", "vm-3");
        daemon("vm-3", "vm-2").queryReplacedPrimaries().get(5, TimeUnit.SECONDS);
        PeerVoteExchange.RoundResult result =
                daemon("vm-1", "vm-2").requestVotes("orders", true).get(5, TimeUnit.SECONDS);
        assertThat(result.inquirers()).containsExactly("vm-3");
        assertThat(result.unresponsive()).containsExactly("vm-3");
    }

    @Test
    void inquirerThatAnswersItselfIsNotUnresponsive() throws Exception {
        recordedVoters.add(votersRecord(2, "1;vm-1,vm-2"));
        daemon("vm-2", "vm-1", "vm-3");
        daemon("vm-3", "vm-2").queryReplacedPrimaries().get(5, TimeUnit.SECONDS);
        PeerVoteExchange.RoundResult result =
                daemon("vm-1", "vm-2", "vm-3").requestVotes("orders", true).get(5, TimeUnit.SECONDS);
        assertThat(result.unresponsive()).isEmpty();
    }

    /** Review case 15: guards against a restarted daemon that counts only the daemons it finds in the store. */
    @Test
    void recordedVotersCountAlsoIfTheDaemonKnowsNothingElseOfThem() throws Exception {
        recordedVoters.add(votersRecord(2, "1;vm-1,vm-2,vm-3,vm-4,vm-5"));
        daemon("vm-2", "vm-1");
        PeerVoteExchange.RoundResult result =
                daemon("vm-1", "vm-2").requestVotes("orders", false).get(5, TimeUnit.SECONDS);
        assertThat(result.mayDecide()).isFalse();
        assertThat(result.unresponsive()).containsExactly("vm-3", "vm-4", "vm-5");
        daemon("vm-3", "vm-1");
        assertThat(daemon("vm-1", "vm-2")
                        .requestVotes("orders", false)
                        .get(5, TimeUnit.SECONDS)
                        .mayDecide())
                .isTrue();
    }

    /** Guards against a store that goes down just after the first start, before voters are recorded. */
    @Test
    void daemonsThatKnowNoVotersAreReliedOnOnlyIfAllOfThemAnswer() throws Exception {
        daemon("vm-2", "vm-1");
        PeerVoteExchange asking = daemon("vm-1", "vm-2");
        assertThat(asking.queryReplacedPrimaries().get(5, TimeUnit.SECONDS).mayRely())
                .isTrue();
        assertThat(daemon("vm-1", "vm-2", "vm-3")
                        .queryReplacedPrimaries()
                        .get(5, TimeUnit.SECONDS)
                        .mayRely())
                .isFalse();
        progress("vm-1").nanosSinceContact(VoterMaintenance.RELIANCE_NANOS + 1);
        assertThat(asking.queryReplacedPrimaries().get(5, TimeUnit.SECONDS).mayRely())
                .isFalse();
    }

    /** Review case 12: guards against a daemon that relies on the former voters after they have been replaced. */
    @Test
    void newerVotersThatAnAnswerTellsOfAreCounted() throws Exception {
        recordedVoters.add(votersRecord(2, "1;vm-1,vm-2,vm-3"));
        PeerVoteExchange behind = daemon("vm-1", "vm-2", "vm-3");
        recordedVoters.add(votersRecord(3, "3;vm-1,vm-4,vm-5"));
        daemon("vm-2", "vm-1");
        daemon("vm-3", "vm-1");
        PeerVoteExchange.RoundResult result = behind.queryReplacedPrimaries().get(5, TimeUnit.SECONDS);
        assertThat(result.voters().sets().version()).isEqualTo(3);
        assertThat(result.mayRely()).isFalse();
    }

    @Test
    void answersWithoutRecentContactToTheStoreAreReliedOnOnlyFromAllVoters() throws Exception {
        recordedVoters.add(votersRecord(2, "1;vm-1,vm-2,vm-3"));
        daemon("vm-2", "vm-1");
        PeerVoteExchange asking = daemon("vm-1", "vm-2", "vm-3");
        assertThat(asking.queryReplacedPrimaries().get(5, TimeUnit.SECONDS).mayRely())
                .isTrue();
        progress("vm-2").nanosSinceContact(VoterMaintenance.RELIANCE_NANOS + 1);
        assertThat(asking.queryReplacedPrimaries().get(5, TimeUnit.SECONDS).mayRely())
                .isFalse();
        daemon("vm-3", "vm-1");
        progress("vm-3").nanosSinceContact(VoterMaintenance.RELIANCE_NANOS + 1);
        progress("vm-1").nanosSinceContact(VoterMaintenance.RELIANCE_NANOS + 1);
        assertThat(asking.queryReplacedPrimaries().get(5, TimeUnit.SECONDS).mayRely())
                .isTrue();
    }

    @Test
    void announcedPromotionIsLearnedWithoutAnotherVote() throws Exception {
        daemon("vm-2", "vm-1");
        FleetRecord.Promotion promotion = new FleetRecord.Promotion("orders", "member-2");
        PeerVoteExchange.RoundResult result =
                daemon("vm-1", "vm-2").announcePromotion(promotion, REVISION).get(5, TimeUnit.SECONDS);
        assertThat(result.votes().unreachable()).isEqualTo(1);
        assertThat(learned).containsExactly("vm-2 at 12", promotion);
        assertThat(votes).isEmpty();
    }

    /** Creates the exchange of a daemon that knows some other daemons. */
    private PeerVoteExchange daemon(String name, String... known) {
        FleetDirectory directory = new FleetDirectory(recordCodec, log, clock);
        recordedVoters.forEach(directory::apply);
        directory.apply(daemonRecord(name));
        for (String other : known) {
            directory.apply(daemonRecord(other));
        }
        PeerVoteExchange exchange = new PeerVoteExchange(
                name,
                new InProcessMessenger(name),
                directory,
                recordCodec,
                eras(name),
                eventLoop,
                clock,
                progress(name));
        exchange.serve(new RecordingVoter(name));
        return exchange;
    }

    private FixedStoreProgress progress(String daemon) {
        return progressByDaemon.computeIfAbsent(daemon, name -> new FixedStoreProgress());
    }

    private StoreEras eras(String daemon) {
        return erasByDaemon.computeIfAbsent(daemon, name -> new StoreEras(log));
    }

    private static StoreRecord votersRecord(long revision, String text) {
        return new StoreRecord(
                TextRecordCodec.VOTERS_KEY,
                new StoreRevision(0, revision),
                text.getBytes(StandardCharsets.UTF_8),
                StoreLease.NONE);
    }

    private static StoreRecord daemonRecord(String name) {
        return new StoreRecord(
                TextRecordCodec.DAEMON_PREFIX + name, new StoreRevision(0, 1), new byte[] {'a'}, new StoreLease(0, 5));
    }

    /** Delivers requests to the handler of the daemon whose entry VM's name is the address. */
    private final class InProcessMessenger implements PeerMessenger {
        private final String sender;

        private InProcessMessenger(String sender) {
            this.sender = sender;
        }

        @Override
        public CompletableFuture<PeerEnvelope> request(String address, PeerEnvelope body, Duration timeout) {
            PeerMessageHandler handler = handlers.get(address);
            return handler == null
                    ? CompletableFuture.failedFuture(new TimeoutException("expected by the test"))
                    : handler.handle(body.toBuilder().setSenderEntryVm(sender).build());
        }

        @Override
        public void send(String address, PeerEnvelope body) {
            throw new UnsupportedOperationException("an exchange sends requests only");
        }

        @Override
        public void registerHandler(PeerEnvelope.BodyCase bodyCase, PeerMessageHandler handler) {
            handlers.put(sender, handler);
        }
    }

    private final class RecordingVoter implements PeerVoteExchange.Voter {
        private final String name;

        private RecordingVoter(String name) {
            this.name = name;
        }

        @Override
        public CompletableFuture<Long> voteOnReplacement(String group, boolean planned) {
            votes.add(name + " votes on " + group);
            return CompletableFuture.completedFuture(0L);
        }

        @Override
        public void learnPromotion(FleetRecord.Promotion promotion, StoreRevision revision) {
            learned.put(name + " at " + revision.number(), promotion);
        }

        @Override
        public Set<String> groupsInDoubt(StoreRevision knownRevision) {
            return Set.copyOf(List.of());
        }

        @Override
        public boolean hasReadStore() {
            return true;
        }
    }

    /** Guards against a vote or an announcement that counts although one of the daemons knows an older era. */
    @Test
    void daemonsInDifferentErasDoNotVoteForEachOther() throws Exception {
        daemon("vm-2", "vm-1");
        PeerVoteExchange asking = daemon("vm-1", "vm-2");
        showEra("vm-1", 2);
        assertThat(requestVote(asking).unresponsive()).containsExactly("vm-2");
        eras("vm-2").observe(2);
        assertThat(requestVote(asking).unresponsive()).containsExactly("vm-2");
        showEra("vm-2", 2);
        assertThat(requestVote(asking).votes().unreachable()).isEqualTo(1);
        showEra("vm-2", 3);
        FleetRecord.Promotion promotion = new FleetRecord.Promotion("orders", "member-2");
        assertThat(asking.announcePromotion(promotion, new StoreRevision(2, 9))
                        .get(5, TimeUnit.SECONDS)
                        .unresponsive())
                .containsExactly("vm-2");
        assertThat(learned).isEmpty();
    }

    private void showEra(String daemon, long era) {
        eras(daemon).observe(era);
        eras(daemon).recordReading(era);
    }

    private static PeerVoteExchange.RoundResult requestVote(PeerVoteExchange exchange) throws Exception {
        return exchange.requestVotes("orders", false).get(5, TimeUnit.SECONDS);
    }
}
