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

/** Carries out the promotions of one database group that this daemon proposes. Used on the controller's thread only. */
final class PromotionDriver {

    private static final Logger LOGGER = LogManager.getLogger(PromotionDriver.class);
    private static final Duration CONTROL_TIMEOUT = Duration.ofMillis(1000);
    private static final long REPAIR_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long FOLLOW_INTERVAL_NANOS = Duration.ofMillis(400).toNanos();
    private static final Duration MOVE_READ_INTERVAL = Duration.ofMillis(40);
    private static final Duration INVESTIGATION_INTERVAL = Duration.ofMillis(300);

    private final ControllerContext context;
    private final GroupMonitor monitor;
    private final DoubleSupplier random;
    private final PrimaryChanges changes;
    private final PrimaryFailureDetector suspicion = new PrimaryFailureDetector();
    private final PromotionBackoff backoff = new PromotionBackoff();
    private final PlannedSwitchover plannedMove = new PlannedSwitchover();

    private Set<String> takenOutFailureDomains = Set.of();
    private @Nullable PromotionProposal proposal;
    private PromotionState loggedState = PromotionState.FENCING;
    private long lastRepairNanos;
    private long lastFollowNanos;

    PromotionDriver(ControllerContext context, GroupMonitor monitor, DoubleSupplier random, PrimaryChanges changes) {
        this.context = context;
        this.monitor = monitor;
        this.random = random;
        this.changes = changes;
        this.lastRepairNanos = context.now();
    }

    PrimaryFailureDetector suspicion() {
        return suspicion;
    }

    boolean isProposing() {
        return proposal != null;
    }

    /**
     * Decides and acts.
     *
     * @param position where this daemon stands in the fleet
     * @param takenOut the failure domains that operators took out
     * @return the decision; {@code INVESTIGATE} asks the caller to collect the evidence of peers
     */
    PromotionDecision tick(ProposerContext position, Set<String> takenOut) {
        takenOutFailureDomains = takenOut;
        long now = context.now();
        PromotionProposal current = proposal;
        if (current != null) {
            tickProposal(current, now);
            return new PromotionDecision(PromotionDecision.Kind.NONE, "a proposal is under way");
        }
        PromotionDecision decision = suspicion.decide(monitor.view(), position, now);
        switch (decision.kind()) {
            case NONE -> {
                backoff.onSuccess();
                repair(now);
                move(position.rank(), now);
            }
            case INVESTIGATE -> monitor.readStale(INVESTIGATION_INTERVAL, INVESTIGATION_INTERVAL);
            default -> {
                if (backoff.mayPropose(now)) {
                    propose(decision.reason(), server -> false, now);
                }
            }
        }
        return decision;
    }

    private void tickProposal(PromotionProposal current, long now) {
        boolean following = current.state() == PromotionState.FOLLOWING;
        if (following && now - lastFollowNanos < FOLLOW_INTERVAL_NANOS) {
            return;
        }
        lastFollowNanos = now;
        execute(current, current.onTick(now));
    }

    private void repair(long now) {
        if (now - lastRepairNanos < REPAIR_INTERVAL_NANOS) {
            return;
        }
        lastRepairNanos = now;
        for (PromotionCommand command : FollowerRepair.followCommands(monitor.view())) {
            LOGGER.info(
                    "database {}: telling {} to follow {} in term {}; reason: it is out of step",
                    monitor.database().name(),
                    command.member(),
                    command.primaryMember(),
                    command.term());
            observing(command, (status, termSeen) -> {});
        }
    }

    private void move(int rank, long now) {
        PlannedSwitchover.Decision decision = plannedMove.decide(monitor.view(), takenOutFailureDomains, rank, now);
        switch (decision.step()) {
            case READ -> monitor.readStale(MOVE_READ_INTERVAL, MOVE_READ_INTERVAL);
            case HOLD -> {
                LOGGER.info(
                        "database {}: holding new work; reason: {}",
                        monitor.database().name(),
                        decision.reason());
                monitor.view().primary().ifPresent(primary -> {
                    monitor.hold(primary.term(), PlannedSwitchover.HOLD_DURATION);
                    changes.hold(monitor.database().name(), primary.term());
                });
                monitor.readAll();
            }
            case PROPOSE ->
                propose(
                        "planned move, " + decision.reason(),
                        server -> !PlannedSwitchover.mayHoldPrimary(server, takenOutFailureDomains),
                        now);
            default ->
                LOGGER.trace(
                        "database {}: no move; reason: {}", monitor.database().name(), decision.reason());
        }
    }

    private void propose(String reason, Predicate<BackendServer> avoided, long now) {
        long term = monitor.view().highestTerm() + 1;
        PromotionProposal started = new PromotionProposal(monitor.database(), term, this::penalty, avoided);
        LOGGER.info(
                "database {}: proposing term {}; reason: {}", monitor.database().name(), term, reason);
        proposal = started;
        loggedState = PromotionState.FENCING;
        lastFollowNanos = now;
        execute(started, started.start(now));
    }

    private int penalty(BackendServer server) {
        int leaving = server.leaving() ? 2 : 0;
        return leaving + (takenOutFailureDomains.contains(server.failureDomain()) ? 1 : 0);
    }

    private void execute(PromotionProposal current, List<PromotionCommand> commands) {
        logProgress(current);
        for (PromotionCommand command : commands) {
            execute(current, command);
        }
        if (current.state().isFinal() && proposal == current) {
            finish(current);
        }
    }

    private void execute(PromotionProposal current, PromotionCommand command) {
        switch (command.kind()) {
            case FENCE ->
                observing(command, (status, failure) -> {
                    long now = context.now();
                    execute(
                            current,
                            status != null
                                    ? current.onFenced(status, now)
                                    : current.onFenceFailed(command.member(), termOf(failure), now));
                });
            case PROMOTE ->
                observing(
                        command,
                        (status, failure) -> execute(
                                current,
                                status != null
                                        ? current.onPromoted(status, context.now())
                                        : current.onPromoteFailed(isRefusal(failure), termOf(failure))));
            case FOLLOW ->
                observing(command, (status, failure) -> {
                    if (status != null) {
                        current.onFollowed(command.member());
                    } else {
                        current.onFollowFailed(termOf(failure));
                    }
                    execute(current, List.of());
                });
            default ->
                changes.published(monitor.database().name(), new KnownPrimary(command.term(), command.primaryMember()));
        }
    }

    private void observing(PromotionCommand command, BiConsumer<@Nullable MemberStatus, @Nullable Throwable> next) {
        long began = context.now();
        call(command)
                .whenComplete((status, failure) -> context.duty().execute(() -> {
                    if (status != null) {
                        monitor.observe(status, began);
                    } else {
                        refusedStatus(failure).ifPresent(refused -> monitor.observe(refused, began));
                        LOGGER.info(
                                "database {}: {} of {} at term {} failed: {}",
                                monitor.database().name(),
                                command.kind(),
                                command.member(),
                                command.term(),
                                String.valueOf(failure));
                    }
                    next.accept(status, failure);
                }));
    }

    private CompletableFuture<MemberStatus> call(PromotionCommand command) {
        BackendServer server = monitor.database().member(command.member()).orElse(null);
        BackendServer primary =
                monitor.database().member(command.primaryMember()).orElse(null);
        if (server == null || (primary == null && command.kind() == PromotionCommand.Kind.FOLLOW)) {
            return CompletableFuture.failedFuture(new BackendControlException(
                    BackendControlException.Kind.UNREACHABLE,
                    "member " + command.member() + " is no longer in the configuration",
                    null));
        }
        return switch (command.kind()) {
            case FENCE -> context.control().fence(server, command.term(), CONTROL_TIMEOUT);
            case PROMOTE -> context.control().promote(server, command.term(), CONTROL_TIMEOUT);
            default -> context.control().follow(server, command.term(), requireNonNull(primary), CONTROL_TIMEOUT);
        };
    }

    private void logProgress(PromotionProposal current) {
        if (current == proposal && current.state() != loggedState) {
            loggedState = current.state();
            LOGGER.info(
                    "database {}: term {} is {}; reason: {}",
                    monitor.database().name(),
                    current.term(),
                    current.state(),
                    current.reason());
        }
    }

    private void finish(PromotionProposal current) {
        proposal = null;
        boolean published = current.state() == PromotionState.PUBLISHED;
        context.metrics().promotion(published ? "published" : "abandoned");
        if (published) {
            backoff.onSuccess();
        } else {
            backoff.onAbandoned(context.now(), random.getAsDouble());
        }
        monitor.readAll();
    }

    private static boolean isRefusal(@Nullable Throwable failure) {
        return failure instanceof BackendControlException exception
                && exception.kind() == BackendControlException.Kind.REFUSED;
    }

    private static Optional<MemberStatus> refusedStatus(@Nullable Throwable failure) {
        return failure instanceof BackendControlException exception ? exception.status() : Optional.empty();
    }

    private static long termOf(@Nullable Throwable failure) {
        return refusedStatus(failure).map(MemberStatus::term).orElse(0L);
    }
}
