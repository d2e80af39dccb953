package org.banyanhook.gateway.primary;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.primary.PromotionPermission;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.gateway.backend.DatabaseGroup;
import org.banyanhook.gateway.backend.MemberProbe;
import org.banyanhook.gateway.backend.MemberServer;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.message.MemberCommand;
import org.banyanhook.gateway.message.MemberReport;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.SteadyClock;
import org.banyanhook.gateway.port.FleetRecord;
import org.banyanhook.gateway.port.FleetRecords;
import org.banyanhook.gateway.port.PromotionAuthority;
import org.banyanhook.gateway.port.RecordStore;

/**
 * The steps of one promotion: take the duty, make sure that nobody uses the old primary, choose the member with the
 * longest log, order the promotion. Used on the event loop only.
 */
public final class PromotionSteps {

    /** How long a promotion may take from the order until the member leads. */
    static final long PROMOTION_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

    private static final long CATCH_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    private static final long POLL_MILLIS = 60;
    private static final long NO_LEASE = 0;
    private static final int MAXIMUM_ORDERS = 4;
    private static final long ORDER_RETRY_MILLIS = 250;

    private static final Comparator<Candidate> LONGEST_LOG = Comparator.comparing(
                    (Candidate candidate) -> candidate.report().position())
            .thenComparing(candidate -> candidate.server().name());

    private final RecordStore store;
    private final FleetRecords records;
    private final FleetDirectory directory;
    private final PromotionDuty duty;
    private final PeerEvidence peers;
    private final MemberProbe probe;
    private final PromotionAuthority authority;
    private final String entryVm;
    private final EventLoop eventLoop;
    private final SteadyClock clock;
    private final DecisionLog log;

    private record Candidate(MemberServer server, MemberReport report) {}

    /**
     * Creates the steps.
     *
     * @param entryVm the name of this entry VM
     * @param store keeps what was ordered last
     * @param records names and encodes it
     * @param directory tells what operators have taken out
     * @param duty the right to order promotions
     * @param peers asks the other daemons
     * @param probe asks the members
     * @param authority carries promotions out
     * @param eventLoop where everything runs
     * @param clock the monotonic clock
     * @param log receives a line for each decision
     */
    public PromotionSteps(
            String entryVm,
            RecordStore store,
            FleetRecords records,
            FleetDirectory directory,
            PromotionDuty duty,
            PeerEvidence peers,
            MemberProbe probe,
            PromotionAuthority authority,
            EventLoop eventLoop,
            SteadyClock clock,
            DecisionLog log) {
        this.entryVm = entryVm;
        this.store = store;
        this.records = records;
        this.directory = directory;
        this.duty = duty;
        this.peers = peers;
        this.probe = probe;
        this.authority = authority;
        this.eventLoop = eventLoop;
        this.clock = clock;
        this.log = log;
    }

    /**
     * Replaces the primary of a group.
     *
     * @param group the group
     * @param reason why
     * @param sinceNanos for how long the reason has held
     * @param rejected members that the platform did not promote; grows
     * @return what came of it, for the log
     */
    CompletableFuture<String> replace(
            DatabaseGroup group, PromotionController.Reason reason, long sinceNanos, Set<String> rejected) {
        if (reason.planned()) {
            return duty.acquire().thenCompose(token -> move(group, token, rejected));
        }
        return peers.ask(group.name(), group.highestTerm()).thenCompose(votes -> {
            log.line("primary-votes")
                    .with("group", group.name())
                    .with("asked", votes.asked())
                    .with("unreachable", votes.unreachable())
                    .with("reachable", votes.reachable())
                    .with("sinceMs", TimeUnit.NANOSECONDS.toMillis(sinceNanos))
                    .write();
            PromotionPermission permission = PromotionPermission.decide(votes, sinceNanos);
            if (permission != PromotionPermission.GRANTED) {
                return CompletableFuture.completedFuture(permission.reason());
            }
            group.dropPrimary("about to be replaced");
            return duty.acquire().thenCompose(token -> promoteBest(group, token, rejected, LogPosition.START));
        });
    }

    /** Stops the old primary first, then promotes a member that has caught up with it. */
    private CompletableFuture<String> move(DatabaseGroup group, long token, Set<String> rejected) {
        MemberServer old = group.primary().orElse(null);
        if (old == null) {
            return promoteBest(group, token, rejected, LogPosition.START);
        }
        return candidates(group, rejected).thenCompose(before -> {
            if (before.isEmpty()) {
                return CompletableFuture.completedFuture("no member can take over");
            }
            group.hold(clock.nowNanos() + PROMOTION_NANOS);
            long term = group.highestTerm() + 1;
            return probe.send(old, new MemberCommand.StepDown(term)).thenCompose(report -> {
                if (report.isEmpty()) {
                    return CompletableFuture.completedFuture("the old primary did not step down");
                }
                LogPosition end = report.get().position();
                long until = clock.nowNanos() + CATCH_UP_NANOS;
                return awaitCaughtUp(group, rejected, end, until)
                        .thenCompose(done -> promoteBest(group, token, rejected, end));
            });
        });
    }

    private CompletableFuture<Void> awaitCaughtUp(
            DatabaseGroup group, Set<String> rejected, LogPosition end, long untilNanos) {
        return candidates(group, rejected).thenCompose(found -> {
            boolean caughtUp = found.stream()
                    .anyMatch(candidate -> candidate.report().position().covers(end));
            if (caughtUp || clock.nowNanos() - untilNanos >= 0) {
                return CompletableFuture.<Void>completedFuture(null);
            }
            return pause(POLL_MILLIS).thenCompose(done -> awaitCaughtUp(group, rejected, end, untilNanos));
        });
    }

    private CompletableFuture<String> promoteBest(
            DatabaseGroup group, long token, Set<String> rejected, LogPosition wanted) {
        return candidates(group, rejected).thenCompose(found -> {
            Optional<Candidate> best = found.stream().max(LONGEST_LOG);
            if (best.isEmpty()) {
                rejected.clear();
                return CompletableFuture.completedFuture("no member can take over");
            }
            Candidate chosen = best.get();
            log.line("promotion-choice")
                    .with("group", group.name())
                    .with("member", chosen.server().name())
                    .with("position", chosen.report().position().toString())
                    .with("wanted", wanted.toString())
                    .with("candidates", found.size())
                    .with("token", token)
                    .write();
            group.hold(clock.nowNanos() + PROMOTION_NANOS);
            FleetRecord.Promotion promotion =
                    new FleetRecord.Promotion(group.name(), chosen.server().name());
            return store.put(
                            records.promotionKey(group.name()),
                            records.encode(promotion),
                            OptionalLong.empty(),
                            NO_LEASE)
                    .thenCompose(revision -> order(group, chosen.server(), token, rejected, 1));
        });
    }

    private CompletableFuture<String> order(
            DatabaseGroup group, MemberServer server, long token, Set<String> rejected, int attempt) {
        if (!duty.isHeld()) {
            return CompletableFuture.completedFuture("the duty ended before the order");
        }
        return authority.promote(group.name(), server.name(), entryVm, token).thenCompose(result -> switch (result) {
            case ACCEPTED -> awaitLead(group, server, clock.nowNanos() + PROMOTION_NANOS);
            case REJECTED -> {
                rejected.add(server.name());
                yield CompletableFuture.completedFuture("rejected: " + server.name());
            }
            case NO_ANSWER ->
                attempt >= MAXIMUM_ORDERS
                        ? CompletableFuture.completedFuture("no answer to the order")
                        : pause(ORDER_RETRY_MILLIS)
                                .thenCompose(done -> order(group, server, token, rejected, attempt + 1));
        });
    }

    private CompletableFuture<String> awaitLead(DatabaseGroup group, MemberServer server, long untilNanos) {
        if (group.primary().filter(primary -> primary == server).isPresent()) {
            group.releaseHold();
            return CompletableFuture.completedFuture("promoted " + server.name());
        }
        if (clock.nowNanos() - untilNanos >= 0) {
            return CompletableFuture.completedFuture("ordered, but " + server.name() + " does not report to lead");
        }
        return pause(POLL_MILLIS).thenCompose(done -> awaitLead(group, server, untilNanos));
    }

    private CompletableFuture<List<Candidate>> candidates(DatabaseGroup group, Set<String> rejected) {
        List<CompletableFuture<Optional<Candidate>>> reports = new ArrayList<>();
        for (MemberServer server : List.copyOf(group.servers())) {
            boolean suits = server.takesWork()
                    && !directory.isEvacuated(server.entry().failureDomain())
                    && !rejected.contains(server.name())
                    && group.primary().filter(primary -> primary == server).isEmpty();
            if (suits) {
                reports.add(probe.send(server, new MemberCommand.Status())
                        .thenApply(report -> report.map(found -> new Candidate(server, found))));
            }
        }
        return CompletableFuture.allOf(reports.toArray(new CompletableFuture<?>[0]))
                .thenApply(done -> reports.stream()
                        .map(CompletableFuture::join)
                        .flatMap(Optional::stream)
                        .toList());
    }

    private CompletableFuture<Void> pause(long millis) {
        CompletableFuture<Void> over = new CompletableFuture<>();
        var unused = eventLoop.schedule(() -> over.complete(null), millis, TimeUnit.MILLISECONDS);
        return over;
    }
}
