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
import org.banyanhook.core.primary.GrantedVotes;
import org.banyanhook.core.primary.PromotionPermission;
import org.banyanhook.core.primary.PromotionPermission.VoteTally;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.gateway.backend.DatabaseGroup;
import org.banyanhook.gateway.backend.MemberProbe;
import org.banyanhook.gateway.backend.MemberServer;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.message.MemberCommand;
import org.banyanhook.gateway.message.MemberReport;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.port.FleetRecord;
import org.banyanhook.gateway.port.FleetRecords;
import org.banyanhook.gateway.port.PromotionAuthority;
import org.banyanhook.gateway.port.RecordStore;
import org.banyanhook.gateway.port.StoreException;
import org.jspecify.annotations.Nullable;

/**
 * The steps of one promotion: take the duty, make sure that nobody uses the old primary, choose the member with the
 * longest log, order the promotion. Used on the event loop only.
 */
public final class PromotionSteps {

    /** How long a promotion may take from the order until the member leads. */
    static final long PROMOTION_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

    private static final long CATCH_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(60);
    private static final int MAXIMUM_ORDERS = 4;
    private static final long ORDER_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private static final Comparator<Candidate> LONGEST_LOG = Comparator.comparing(
                    (Candidate candidate) -> candidate.report().position())
            .thenComparing(candidate -> candidate.server().name());

    private final RecordStore store;
    private final FleetRecords records;
    private final FleetDirectory directory;
    private final PromotionDuty duty;
    private final PeerEvidence peers;
    private final PrimaryWitness witness;
    private final MemberProbe probe;
    private final PromotionAuthority authority;
    private final String entryVm;
    private final EventLoop eventLoop;
    private final MonotonicClock clock;
    private final DecisionLog log;

    private record Candidate(MemberServer server, MemberReport report) {}

    /**
     * What a promotion rests on.
     *
     * @param askedNanos when the other daemons were asked, or the old primary stepped down
     * @param waitNanos how long daemons that did not answer may go on using the old primary
     * @param silent these daemons
     * @param wanted the place that the new primary's log should hold
     */
    private record Agreement(long askedNanos, long waitNanos, Set<String> silent, LogPosition wanted) {

        private Agreement renewedAt(long nanos) {
            return new Agreement(nanos, 0, Set.of(), wanted);
        }

        private Agreement wanting(LogPosition position) {
            return new Agreement(askedNanos, waitNanos, silent, position);
        }
    }

    private record Answer(
            long askedNanos,
            PromotionPermission permission,
            @Nullable Agreement agreement) {}

    /**
     * Creates the steps.
     *
     * @param entryVm the name of this entry VM
     * @param store keeps what was ordered last
     * @param records names and encodes it
     * @param directory tells what operators have taken out
     * @param duty the right to order promotions
     * @param peers asks the other daemons
     * @param witness notes that this daemon agrees as well
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
            PrimaryWitness witness,
            MemberProbe probe,
            PromotionAuthority authority,
            EventLoop eventLoop,
            MonotonicClock clock,
            DecisionLog log) {
        this.entryVm = entryVm;
        this.store = store;
        this.records = records;
        this.directory = directory;
        this.duty = duty;
        this.peers = peers;
        this.witness = witness;
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
     * @param rejected members that the platform did not promote; grows
     * @return what came of it, for the log
     */
    CompletableFuture<String> replace(DatabaseGroup group, PromotionController.Reason reason, Set<String> rejected) {
        return agree(group, reason.planned()).thenCompose(found -> {
            Agreement agreement = found.agreement();
            if (agreement == null) {
                return CompletableFuture.completedFuture(found.permission().reason());
            }
            if (!reason.planned()) {
                group.dropPrimary("about to be replaced");
                return duty.acquire().thenCompose(token -> promoteBest(group, token, rejected, agreement));
            }
            // The old primary serves while daemons that did not answer stop using it; then all agree once more.
            return agreement.waitNanos() == 0
                    ? move(group, rejected, agreement)
                    : shutOut(agreement)
                            .thenCompose(done -> pause(agreement.waitNanos()))
                            .thenCompose(done -> agree(group, true))
                            .thenCompose(again -> move(group, rejected, agreement.renewedAt(again.askedNanos())));
        });
    }

    /** Asks all other daemons whether the primary may be replaced. */
    private CompletableFuture<Answer> agree(DatabaseGroup group, boolean planned) {
        long askedNanos = clock.nowNanos();
        return peers.askToReplace(group.name(), planned).thenApply(round -> {
            VoteTally votes = round.votes();
            PromotionPermission permission = PromotionPermission.decide(votes, 0);
            log.line("primary-votes")
                    .with("group", group.name())
                    .with("planned", planned)
                    .with("asked", votes.asked())
                    .with("unreachable", votes.unreachable())
                    .with("reachable", votes.reachable())
                    .with("outcome", permission.name())
                    .write();
            return switch (permission) {
                case GRANTED, SILENT_DAEMONS -> {
                    witness.agree(group.name());
                    long waitNanos = votes.unanswered() == 0 ? 0 : PromotionPermission.STOPPED_AFTER_NANOS;
                    yield new Answer(
                            askedNanos,
                            permission,
                            new Agreement(askedNanos, waitNanos, round.silent(), LogPosition.START));
                }
                case STILL_REACHED, NO_MAJORITY -> new Answer(askedNanos, permission, null);
            };
        });
    }

    /** Stops the old primary first, then promotes a member that has caught up with it. */
    private CompletableFuture<String> move(DatabaseGroup group, Set<String> rejected, Agreement agreement) {
        return duty.acquire().thenCompose(token -> {
            MemberServer old = group.primary().orElse(null);
            if (old == null) {
                return CompletableFuture.completedFuture("the primary has gone meanwhile");
            }
            return candidates(group, rejected).thenCompose(found -> {
                if (found.isEmpty()) {
                    return CompletableFuture.completedFuture("no member can take over");
                }
                return stepDown(group, old, token, rejected, agreement);
            });
        });
    }

    private CompletableFuture<String> stepDown(
            DatabaseGroup group, MemberServer old, long token, Set<String> rejected, Agreement agreement) {
        group.hold(clock.nowNanos() + PROMOTION_NANOS);
        long term = group.highestTerm() + 1;
        return probe.send(old, new MemberCommand.StepDown(term)).thenCompose(report -> {
            if (report.isEmpty()) {
                return CompletableFuture.completedFuture("the old primary did not step down");
            }
            LogPosition end = report.get().position();
            long until = clock.nowNanos() + CATCH_UP_NANOS;
            return awaitCaughtUp(group, rejected, end, until)
                    .thenCompose(done -> promoteBest(group, token, rejected, agreement.wanting(end)));
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
            return pause(POLL_NANOS).thenCompose(done -> awaitCaughtUp(group, rejected, end, untilNanos));
        });
    }

    private CompletableFuture<String> promoteBest(
            DatabaseGroup group, long token, Set<String> rejected, Agreement agreement) {
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
                    .with("wanted", agreement.wanted().toString())
                    .with("candidates", found.size())
                    .with("token", token)
                    .write();
            return record(group, chosen.server(), token, agreement)
                    .thenCompose(failure -> failure.isPresent()
                            ? CompletableFuture.completedFuture(failure.get())
                            : afterWait(group, chosen.server(), token, rejected, agreement));
        });
    }

    /** Puts the promotion on record; returns why it did not, or empty if it did. */
    private CompletableFuture<Optional<String>> record(
            DatabaseGroup group, MemberServer server, long token, Agreement agreement) {
        if (clock.nowNanos() - agreement.askedNanos() > GrantedVotes.RECORDING_TIMEOUT_NANOS) {
            return CompletableFuture.completedFuture(Optional.of("the other daemons agreed too long ago"));
        }
        group.hold(clock.nowNanos() + PROMOTION_NANOS + agreement.waitNanos());
        FleetRecord.Promotion promotion = new FleetRecord.Promotion(group.name(), server.name());
        return store.putWhile(
                        records.promotionKey(group.name()),
                        records.encode(promotion),
                        records.promotionDutyKey(),
                        token)
                .thenApply(revision -> Optional.empty());
    }

    /**
     * Ends the leases of daemons that did not answer: one that the store answers all the same would go on using the old
     * primary if its watch were broken. It has to read the store anew before it counts as in contact again.
     */
    private CompletableFuture<Void> shutOut(Agreement agreement) {
        List<CompletableFuture<Void>> ends = new ArrayList<>();
        for (String daemon : agreement.silent()) {
            OptionalLong lease = directory.daemonLease(daemon);
            if (lease.isPresent()) {
                log.line("shut-out")
                        .with("daemon", daemon)
                        .with("lease", lease.getAsLong())
                        .write();
                ends.add(store.endLease(lease.getAsLong()).exceptionallyCompose(PromotionSteps::unlessEnded));
            }
        }
        return CompletableFuture.allOf(ends.toArray(new CompletableFuture<?>[0]));
    }

    private static CompletableFuture<Void> unlessEnded(Throwable failure) {
        return StoreException.kind(failure) == StoreException.Kind.LEASE_ENDED
                ? CompletableFuture.completedFuture(null)
                : CompletableFuture.failedFuture(failure);
    }

    /**
     * Orders the promotion once daemons that did not answer have stopped using the old primary. The others are asked
     * once more: one that has restarted since has forgotten that it agreed, and one that restarts from now on reads the
     * record.
     */
    private CompletableFuture<String> afterWait(
            DatabaseGroup group, MemberServer server, long token, Set<String> rejected, Agreement agreement) {
        return shutOut(agreement)
                .thenCompose(done ->
                        awaitHolding(agreement.waitNanos()).thenCombine(agree(group, true), (held, again) -> again))
                .thenCompose(again -> again.agreement() == null
                        ? CompletableFuture.completedFuture(
                                "on record, but then: " + again.permission().reason())
                        : duty.acquire()
                                .thenCompose(renewed -> renewed == token
                                        ? order(group, server, token, rejected, 1)
                                        : CompletableFuture.completedFuture("the duty was lost meanwhile")));
    }

    /** Waits without losing the duty, which lasts little longer than the wait. */
    private CompletableFuture<Long> awaitHolding(long nanos) {
        return pause(nanos / 2)
                .thenCompose(done -> duty.acquire())
                .thenCompose(token -> pause(nanos / 2))
                .thenCompose(done -> duty.acquire());
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
                        : pause(ORDER_RETRY_NANOS)
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
        return pause(POLL_NANOS).thenCompose(done -> awaitLead(group, server, untilNanos));
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

    private CompletableFuture<Void> pause(long nanos) {
        CompletableFuture<Void> over = new CompletableFuture<>();
        var unused = eventLoop.schedule(() -> over.complete(null), nanos, TimeUnit.NANOSECONDS);
        return over;
    }
}
