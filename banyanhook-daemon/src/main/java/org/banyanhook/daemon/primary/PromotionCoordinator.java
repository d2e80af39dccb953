package org.banyanhook.daemon.primary;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.core.configuration.BackendServer;
import org.banyanhook.core.primary.FollowerRepair;
import org.banyanhook.core.primary.KnownPrimary;
import org.banyanhook.core.primary.MemberStatus;
import org.banyanhook.core.primary.PlannedSwitchover;
import org.banyanhook.core.primary.PrimaryFailureDetector;
import org.banyanhook.core.primary.PromotionBackoff;
import org.banyanhook.core.primary.PromotionCommand;
import org.banyanhook.core.primary.PromotionDecision;
import org.banyanhook.core.primary.PromotionProposal;
import org.banyanhook.core.primary.PromotionState;
import org.banyanhook.core.primary.ProposerContext;
import org.jspecify.annotations.Nullable;

/**
 * Proposes and carries out promotions in one database group.
 *
 * <p>Confined to the controller's thread.
 */
final class PromotionCoordinator {

    private static final Logger LOGGER = LogManager.getLogger(PromotionCoordinator.class);
    private static final Duration CONTROL_TIMEOUT = Duration.ofMillis(1000);
    private static final long REPAIR_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long FOLLOW_RETRY_INTERVAL_NANOS =
            Duration.ofMillis(400).toNanos();
    private static final Duration SWITCHOVER_READ_INTERVAL = Duration.ofMillis(40);
    private static final Duration INVESTIGATION_READ_INTERVAL = Duration.ofMillis(300);

    private final ControllerContext context;
    private final GroupMonitor monitor;
    private final DoubleSupplier random;
    private final PrimaryChangeListener changeListener;
    private final PrimaryFailureDetector failureDetector = new PrimaryFailureDetector();
    private final PromotionBackoff backoff = new PromotionBackoff();
    private final PlannedSwitchover plannedSwitchover = new PlannedSwitchover();

    private Set<String> takenOutFailureDomains = Set.of();
    private @Nullable PromotionProposal proposal;
    private PromotionState loggedState = PromotionState.FENCING;
    private long lastRepairNanos;
    private long lastProposalTickNanos;

    PromotionCoordinator(
            ControllerContext context,
            GroupMonitor monitor,
            DoubleSupplier random,
            PrimaryChangeListener changeListener) {
        this.context = context;
        this.monitor = monitor;
        this.random = random;
        this.changeListener = changeListener;
        this.lastRepairNanos = context.nowNanos();
    }

    PrimaryFailureDetector failureDetector() {
        return failureDetector;
    }

    boolean isProposing() {
        return proposal != null;
    }

    /**
     * Advances the current proposal or, without one, decides whether to propose a promotion.
     *
     * @param proposer this daemon's rank and failure domain, and the failure domains of its peers
     * @param currentTakenOutDomains the failure domains that operators have taken out of service
     * @return the decision; on {@code INVESTIGATE} the caller has to request evidence from peers
     */
    PromotionDecision tick(ProposerContext proposer, Set<String> currentTakenOutDomains) {
        takenOutFailureDomains = currentTakenOutDomains;
        long now = context.nowNanos();
        PromotionProposal current = proposal;
        if (current != null) {
            tickProposal(current, now);
            return new PromotionDecision(PromotionDecision.Kind.NONE, "a proposal is in progress");
        }
        PromotionDecision decision = failureDetector.decide(monitor.view(), proposer, now);
        switch (decision.kind()) {
            case NONE -> {
                backoff.onSuccess();
                repairFollowers(now);
                continueSwitchover(proposer.rank(), now);
            }
            case INVESTIGATE -> monitor.readIfDue(INVESTIGATION_READ_INTERVAL, INVESTIGATION_READ_INTERVAL);
            default -> {
                if (backoff.mayPropose(now)) {
                    propose(decision.reason(), server -> false, now);
                }
            }
        }
        return decision;
    }

    private void tickProposal(PromotionProposal current, long now) {
        boolean isFollowing = current.state() == PromotionState.FOLLOWING;
        if (isFollowing && now - lastProposalTickNanos < FOLLOW_RETRY_INTERVAL_NANOS) {
            return;
        }
        lastProposalTickNanos = now;
        execute(current, current.onTick(now));
    }

    private void repairFollowers(long now) {
        if (now - lastRepairNanos < REPAIR_INTERVAL_NANOS) {
            return;
        }
        lastRepairNanos = now;
        for (PromotionCommand command : FollowerRepair.followCommands(monitor.view())) {
            LOGGER.info(
                    "database {}: making {} follow {} in term {}; reason: it is out of sync",
                    monitor.database().name(),
                    command.member(),
                    command.primaryMember(),
                    command.term());
            sendCommand(command, (status, termSeen) -> {});
        }
    }

    private void continueSwitchover(int rank, long now) {
        PlannedSwitchover.Decision decision =
                plannedSwitchover.decide(monitor.view(), takenOutFailureDomains, rank, now);
        switch (decision.step()) {
            case READ -> monitor.readIfDue(SWITCHOVER_READ_INTERVAL, SWITCHOVER_READ_INTERVAL);
            case HOLD -> {
                LOGGER.info(
                        "database {}: holding new requests for a planned switchover; reason: {}",
                        monitor.database().name(),
                        decision.reason());
                monitor.view().primary().ifPresent(primary -> {
                    monitor.hold(primary.term(), PlannedSwitchover.HOLD_DURATION);
                    changeListener.onHold(monitor.database().name(), primary.term());
                });
                monitor.readAll();
            }
            case PROPOSE ->
                propose(
                        "planned switchover, " + decision.reason(),
                        server -> !PlannedSwitchover.mayHoldPrimary(server, takenOutFailureDomains),
                        now);
            default ->
                LOGGER.trace(
                        "database {}: no planned switchover; reason: {}",
                        monitor.database().name(),
                        decision.reason());
        }
    }

    private void propose(String reason, Predicate<BackendServer> ineligible, long now) {
        long term = monitor.view().highestTerm() + 1;
        PromotionProposal newProposal = new PromotionProposal(monitor.database(), term, this::penalty, ineligible);
        LOGGER.info(
                "database {}: proposing term {}; reason: {}", monitor.database().name(), term, reason);
        proposal = newProposal;
        loggedState = PromotionState.FENCING;
        lastProposalTickNanos = now;
        execute(newProposal, newProposal.start(now));
    }

    private int penalty(BackendServer server) {
        int drainingPenalty = server.leaving() ? 2 : 0;
        return drainingPenalty + (takenOutFailureDomains.contains(server.failureDomain()) ? 1 : 0);
    }

    private void execute(PromotionProposal executedProposal, List<PromotionCommand> commands) {
        logStateChange(executedProposal);
        for (PromotionCommand command : commands) {
            execute(executedProposal, command);
        }
        if (executedProposal.state().isFinal() && proposal == executedProposal) {
            finish(executedProposal);
        }
    }

    private void execute(PromotionProposal executedProposal, PromotionCommand command) {
        switch (command.kind()) {
            case FENCE ->
                sendCommand(command, (status, failure) -> {
                    long now = context.nowNanos();
                    execute(
                            executedProposal,
                            status != null
                                    ? executedProposal.onFenced(status, now)
                                    : executedProposal.onFenceFailed(command.member(), termOf(failure), now));
                });
            case PROMOTE ->
                sendCommand(
                        command,
                        (status, failure) -> execute(
                                executedProposal,
                                status != null
                                        ? executedProposal.onPromoted(status, context.nowNanos())
                                        : executedProposal.onPromoteFailed(isRefusal(failure), termOf(failure))));
            case FOLLOW ->
                sendCommand(command, (status, failure) -> {
                    if (status != null) {
                        executedProposal.onFollowed(command.member());
                    } else {
                        executedProposal.onFollowFailed(termOf(failure));
                    }
                    execute(executedProposal, List.of());
                });
            default ->
                changeListener.onPromoted(
                        monitor.database().name(), new KnownPrimary(command.term(), command.primaryMember()));
        }
    }

    private void sendCommand(
            PromotionCommand command, BiConsumer<@Nullable MemberStatus, @Nullable Throwable> onOutcome) {
        long startedNanos = context.nowNanos();
        call(command)
                .whenComplete((status, failure) -> context.loopExecutor().execute(() -> {
                    if (status != null) {
                        monitor.recordStatus(status, startedNanos);
                    } else {
                        statusOfRefusal(failure).ifPresent(refused -> monitor.recordStatus(refused, startedNanos));
                        LOGGER.info(
                                "database {}: {} of {} at term {} failed: {}",
                                monitor.database().name(),
                                command.kind(),
                                command.member(),
                                command.term(),
                                String.valueOf(failure));
                    }
                    onOutcome.accept(status, failure);
                }));
    }

    private CompletableFuture<MemberStatus> call(PromotionCommand command) {
        BackendServer server = monitor.database().member(command.member()).orElse(null);
        BackendServer primary =
                monitor.database().member(command.primaryMember()).orElse(null);
        if (server == null || (primary == null && command.kind() == PromotionCommand.Kind.FOLLOW)) {
            return CompletableFuture.failedFuture(new BackendControlException(
                    BackendControlException.Kind.UNREACHABLE,
                    "member " + command.member()
                            + " or the primary that it should follow is no longer in the configuration",
                    null));
        }
        return switch (command.kind()) {
            case FENCE -> context.control().fence(server, command.term(), CONTROL_TIMEOUT);
            case PROMOTE -> context.control().promote(server, command.term(), CONTROL_TIMEOUT);
            default -> context.control().follow(server, command.term(), requireNonNull(primary), CONTROL_TIMEOUT);
        };
    }

    private void logStateChange(PromotionProposal current) {
        if (current == proposal && current.state() != loggedState) {
            loggedState = current.state();
            LOGGER.info(
                    "database {}: the proposal of term {} is now in state {}; reason: {}",
                    monitor.database().name(),
                    current.term(),
                    current.state(),
                    current.reason());
        }
    }

    private void finish(PromotionProposal current) {
        proposal = null;
        boolean published = current.state() == PromotionState.PUBLISHED;
        context.metrics().recordPromotion(published ? "published" : "abandoned");
        if (published) {
            backoff.onSuccess();
        } else {
            backoff.onAbandoned(context.nowNanos(), random.getAsDouble());
        }
        monitor.readAll();
    }

    private static boolean isRefusal(@Nullable Throwable failure) {
        return failure instanceof BackendControlException exception
                && exception.kind() == BackendControlException.Kind.REFUSED;
    }

    private static Optional<MemberStatus> statusOfRefusal(@Nullable Throwable failure) {
        return failure instanceof BackendControlException exception ? exception.status() : Optional.empty();
    }

    private static long termOf(@Nullable Throwable failure) {
        return statusOfRefusal(failure).map(MemberStatus::term).orElse(0L);
    }
}
