package org.banyanhook.testbed.capacity;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.banyanhook.core.membership.Member;
import org.banyanhook.core.membership.MembershipState;
import org.banyanhook.core.membership.MembershipTimings;
import org.banyanhook.protocol.generated.Heartbeat;
import org.banyanhook.protocol.generated.HeartbeatAcknowledgement;
import org.banyanhook.protocol.generated.MemberNews;
import org.banyanhook.protocol.generated.PeerEnvelope;

/** What knowing the live entry VMs costs. */
final class MembershipExperiments {

    private static final int NEWS_PER_MESSAGE = 8;
    private static final long TICK_MILLIS = 1_000;

    private MembershipExperiments() {}

    static List<Experiment> all() {
        return List.of(new Experiment(
                "membership",
                "one second: a tick, a probe sent and answered, a probe received and answered",
                "entry VMs",
                List.of(250, 500, 1_000, 2_000),
                FleetShapes.TARGET_ENTRY_VMS,
                1,
                Fleet::new));
    }

    private static final class Fleet implements Experiment.Subject {
        private final MembershipState state;
        private final SplittableRandom random;
        private final int size;

        Fleet(int size, long seed) {
            this.size = size;
            this.random = new SplittableRandom(seed);
            this.state = new MembershipState(FleetShapes.member(0), MembershipTimings.DEFAULT, NEWS_PER_MESSAGE);
            state.onUpdates(
                    IntStream.range(1, size).mapToObj(FleetShapes::member).toList(), 0);
        }

        @Override
        public long operate(int round) {
            long now = round * TICK_MILLIS;
            state.onTick(now);
            Member target = state.chooseProbe(random.nextLong()).orElseThrow();
            long sent = heartbeat(target.name());
            state.onUpdates(someNews(), now);
            Member prober = FleetShapes.member(1 + random.nextInt(size - 1));
            state.onContact(prober, now);
            state.onUpdates(someNews(), now);
            return sent + acknowledgement(prober.name());
        }

        private List<Member> someNews() {
            int first = 1 + random.nextInt(size - NEWS_PER_MESSAGE);
            return IntStream.range(first, first + NEWS_PER_MESSAGE - 1)
                    .mapToObj(FleetShapes::member)
                    .toList();
        }

        private long heartbeat(String target) {
            Heartbeat.Builder heartbeat = Heartbeat.newBuilder()
                    .setIncarnation(state.self().incarnation())
                    .setConfigurationVersion(1_000_000)
                    .setPeerAddress(state.self().peerAddress())
                    .setWithdrawalCount(123_456_789_012L);
            state.updatesFor(target).forEach(member -> heartbeat.addNews(encode(member)));
            return frame().setHeartbeat(heartbeat).build().getSerializedSize();
        }

        private long acknowledgement(String prober) {
            HeartbeatAcknowledgement.Builder answer = HeartbeatAcknowledgement.newBuilder()
                    .setIncarnation(state.self().incarnation())
                    .setConfigurationVersion(1_000_000)
                    .setWithdrawalCount(123_456_789_012L);
            state.updatesFor(prober).forEach(member -> answer.addNews(encode(member)));
            return frame().setHeartbeatAcknowledgement(answer).build().getSerializedSize();
        }

        private PeerEnvelope.Builder frame() {
            return PeerEnvelope.newBuilder()
                    .setCorrelationId(1_000_000)
                    .setSenderEntryVm(state.self().name())
                    .setSenderFailureDomain(state.self().failureDomain());
        }

        private static MemberNews encode(Member member) {
            return MemberNews.newBuilder()
                    .setEntryVm(member.name())
                    .setFailureDomain(member.failureDomain())
                    .setPeerAddress(member.peerAddress())
                    .setIncarnation(member.incarnation())
                    .setState(MemberNews.State.ALIVE)
                    .build();
        }
    }
}
