package org.banyanhook.gateway.capacity;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.scheduling.CapacityReport;
import org.banyanhook.core.scheduling.ReportTargets;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.gateway.backend.DatabaseGroup;
import org.banyanhook.gateway.backend.DatabaseGroups;
import org.banyanhook.gateway.backend.MemberServer;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.port.DaemonEntry;
import org.banyanhook.protocol.generated.Acknowledgement;
import org.banyanhook.protocol.generated.MemberCapacity;
import org.banyanhook.protocol.generated.MemberCapacityReport;
import org.banyanhook.protocol.generated.PeerEnvelope;

/**
 * Reports what this daemon has learned of members to the daemons of its failure domain, and receives their reports.
 * Reports contain only a daemon's own answers, so that nothing is counted twice. Confined to the event loop.
 */
public final class CapacityExchange {

    /** Bounds a report, without the envelope; 18 members with names of 10 characters take about 800 bytes. */
    static final int MAXIMUM_REPORT_BYTES = 900;

    private static final long REPORT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Answers of this age have been reported to all daemons of the failure domain. */
    private static final long REPORTED_AGE_NANOS = ReportTargets.ROUNDS * REPORT_INTERVAL_NANOS;

    /** A daemon that was paused for longer receives reports that waited as long in the kernel. */
    private static final long PAUSE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** What was sent during a pause is received within this time after it. */
    private static final long DELIVERY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Fewer answers than this are too old to be reported. */
    private static final double MINIMUM_ANSWERS = 0.5;

    /** Exceeds what one daemon receives in the time in which answers lose weight; bounds the weight of one sender. */
    private static final long MAXIMUM_ANSWERS = 10_000;

    private static final long MAXIMUM_AGE_MILLIS = 60_000;

    private static final double MICROS_PER_MILLI = 1_000;
    private static final double HUNDREDTHS = 100;

    private final String entryVm;
    private final String failureDomain;
    private final PeerMessenger messenger;
    private final FleetDirectory directory;
    private final DatabaseGroups groups;
    private final MonotonicClock clock;
    private long lastTickNanos;
    private long lastReportNanos;
    private long ignoredUntilNanos;
    private int round;

    /**
     * Creates the exchange of a daemon.
     *
     * @param self the daemon
     * @param messenger sends the reports
     * @param directory lists the other daemons
     * @param groups the members
     * @param clock the monotonic clock
     */
    public CapacityExchange(
            DaemonEntry self,
            PeerMessenger messenger,
            FleetDirectory directory,
            DatabaseGroups groups,
            MonotonicClock clock) {
        this.entryVm = self.entryVm();
        this.failureDomain = self.failureDomain();
        this.messenger = messenger;
        this.directory = directory;
        this.groups = groups;
        this.clock = clock;
        this.lastTickNanos = clock.nowNanos();
        this.lastReportNanos = lastTickNanos;
        this.ignoredUntilNanos = lastTickNanos;
        clock.addJumpListener(() -> forget(clock.nowNanos()));
    }

    /**
     * Starts to receive reports.
     *
     * @param eventLoop the event loop on which they are handled
     */
    public void serve(EventLoop eventLoop) {
        PeerEnvelope unused = PeerEnvelope.newBuilder()
                .setAcknowledgement(Acknowledgement.getDefaultInstance())
                .build();
        messenger.registerHandler(PeerEnvelope.BodyCase.MEMBER_CAPACITY_REPORT, message -> {
            eventLoop.execute(() -> receive(message));
            return CompletableFuture.completedFuture(unused);
        });
    }

    /** Sends a report if one is due. To be called periodically. */
    public void tick() {
        long now = clock.nowNanos();
        if (now - lastTickNanos >= PAUSE_NANOS) {
            forget(now);
        }
        lastTickNanos = now;
        if (now - lastReportNanos < REPORT_INTERVAL_NANOS) {
            return;
        }
        lastReportNanos = now;
        MemberCapacityReport report = newReport(now);
        if (report.getMembersCount() == 0) {
            return;
        }
        PeerEnvelope envelope =
                PeerEnvelope.newBuilder().setMemberCapacityReport(report).build();
        for (String target : ReportTargets.select(neighbours(), round++)) {
            DaemonEntry entry = directory.daemons().get(target);
            if (entry != null) {
                messenger.send(entry.peerAddress(), envelope);
            }
        }
    }

    private void forget(long nowNanos) {
        ignoredUntilNanos = nowNanos + DELIVERY_NANOS;
        for (DatabaseGroup group : groups.all()) {
            group.servers().forEach(server -> server.capacity().clear(nowNanos));
        }
    }

    private void receive(PeerEnvelope message) {
        long now = clock.nowNanos();
        boolean neighbour = message.getSenderFailureDomain().equals(failureDomain)
                && !message.getSenderEntryVm().equals(entryVm)
                && directory.daemons().containsKey(message.getSenderEntryVm());
        boolean paused = now - lastTickNanos >= PAUSE_NANOS;
        if (!neighbour || paused || now - ignoredUntilNanos < 0) {
            return;
        }
        for (MemberCapacity member : message.getMemberCapacityReport().getMembersList()) {
            findServer(member)
                    .ifPresent(server ->
                            server.capacity().recordReport(message.getSenderEntryVm(), toReport(member), now));
        }
    }

    private Optional<MemberServer> findServer(MemberCapacity member) {
        return groups.all().stream()
                .filter(group -> group.name().equals(member.getDatabase()) && group.sharesCapacity())
                .findFirst()
                .flatMap(group -> group.server(member.getMember()));
    }

    private List<String> neighbours() {
        return directory.daemons().values().stream()
                .filter(daemon -> daemon.failureDomain().equals(failureDomain)
                        && !daemon.entryVm().equals(entryVm))
                .map(DaemonEntry::entryVm)
                .sorted()
                .toList();
    }

    private MemberCapacityReport newReport(long now) {
        List<MemberCapacity> members = new ArrayList<>();
        for (DatabaseGroup group : groups.all()) {
            if (group.sharesCapacity()) {
                for (MemberServer server : group.servers()) {
                    CapacityReport report = server.capacity().report(server.running(), now);
                    if (report.answers() >= MINIMUM_ANSWERS && report.ageNanos() <= REPORTED_AGE_NANOS) {
                        members.add(toMessage(group.name(), server.name(), report));
                    }
                }
            }
        }
        members.sort(Comparator.comparingLong(MemberCapacity::getAgeMillis));
        MemberCapacityReport.Builder bounded = MemberCapacityReport.newBuilder();
        int bytes = 0;
        for (MemberCapacity member : members) {
            bytes +=
                    MemberCapacityReport.newBuilder().addMembers(member).build().getSerializedSize();
            if (bytes > MAXIMUM_REPORT_BYTES) {
                break;
            }
            bounded.addMembers(member);
        }
        return bounded.build();
    }

    private static MemberCapacity toMessage(String group, String member, CapacityReport report) {
        return MemberCapacity.newBuilder()
                .setDatabase(group)
                .setMember(member)
                .setServiceMicros(Math.round(report.serviceMillis() * MICROS_PER_MILLI))
                .setKneeHundredths(Math.round(report.knee() * HUNDREDTHS))
                .setInFlight(report.running())
                .setAnswers(Math.round(report.answers()))
                .setAgeMillis(TimeUnit.NANOSECONDS.toMillis(report.ageNanos()))
                .build();
    }

    private static CapacityReport toReport(MemberCapacity member) {
        return new CapacityReport(
                member.getServiceMicros() / MICROS_PER_MILLI,
                member.getKneeHundredths() / HUNDREDTHS,
                (int) Math.min(Integer.MAX_VALUE, Math.max(0, member.getInFlight())),
                Math.min(MAXIMUM_ANSWERS, member.getAnswers()),
                member.getAgeMillis() < 0 || member.getAgeMillis() > MAXIMUM_AGE_MILLIS
                        ? Long.MAX_VALUE
                        : TimeUnit.MILLISECONDS.toNanos(member.getAgeMillis()));
    }
}
