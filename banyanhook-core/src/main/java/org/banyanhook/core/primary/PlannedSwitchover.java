package org.banyanhook.core.primary;

import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import org.banyanhook.core.configuration.BackendServer;
import org.banyanhook.core.configuration.Database;

/**
 * Moves a primary off a backend server that leaves or whose failure domain was taken out.
 *
 * <p>It waits until a successor is close, asks for new work to be held, waits until the successor has caught up, and
 * then asks for a proposal. The hold only spares callers an unknown outcome; safety rests on the proposal alone. Not
 * safe for use by several threads.
 */
public final class PlannedSwitchover {

    /** How long new work is held at most. */
    public static final Duration HOLD_DURATION = Duration.ofMillis(1500);

    private static final long HOLD_NANOS = HOLD_DURATION.toNanos();
    private static final long SETTLING_NANOS = Duration.ofMillis(30).toNanos();
    private static final long MAXIMUM_READ_AGE_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long LAG_WAIT_TIMEOUT_NANOS = Duration.ofSeconds(3).toNanos();
    private static final long RANK_DELAY_NANOS = Duration.ofSeconds(3).toNanos();
    private static final long RETRY_DELAY_NANOS = Duration.ofSeconds(5).toNanos();
    private static final long MAXIMUM_LAG_ENTRIES = 200;
    private static final int MAXIMUM_HOLDS = 2;

    private Phase phase = Phase.IDLE;
    private long requiredSinceNanos;
    private long phaseBeganNanos;
    private long retryNotBeforeNanos;
    private boolean retrying;
    private int holdCount;

    private enum Phase {
        IDLE,
        WAITING_FOR_RANK,
        WAITING_FOR_LOW_LAG,
        HOLDING
    }

    /** What to do next. */
    public enum Step {
        /** Nothing. */
        NONE,
        /** Read the status of all members. */
        READ,
        /** Ask all daemons to hold new work for {@link #HOLD}. */
        HOLD,
        /** Propose a new primary. */
        PROPOSE
    }

    /**
     * A step with its reason.
     *
     * @param step what to do
     * @param reason why, for the log
     */
    public record Decision(Step step, String reason) {}

    /**
     * Tells whether a backend server may hold a primary.
     *
     * @param server the backend server
     * @param takenOutFailureDomains the failure domains that operators took out
     * @return false if it leaves or its failure domain was taken out
     */
    public static boolean mayHoldPrimary(BackendServer server, Set<String> takenOutFailureDomains) {
        return !server.leaving() && !takenOutFailureDomains.contains(server.failureDomain());
    }

    /**
     * Decides.
     *
     * @param view the group
     * @param takenOutFailureDomains the failure domains that operators took out
     * @param rank the rank of this proposer for the database, 0 for the first to act
     * @param nowNanos the reading of the monotonic clock
     * @return the next step
     */
    public Decision decide(GroupView view, Set<String> takenOutFailureDomains, int rank, long nowNanos) {
        Optional<MemberObservation> primary = view.primary()
                .flatMap(known -> Optional.ofNullable(view.observations().get(known.member())));
        boolean required = primary.flatMap(
                        known -> view.database().member(known.status().member()))
                .filter(server -> !mayHoldPrimary(server, takenOutFailureDomains))
                .isPresent();
        Optional<MemberObservation> successor = successor(view, takenOutFailureDomains);
        if (!required || primary.isEmpty() || successor.isEmpty()) {
            phase = Phase.IDLE;
            holdCount = 0;
            return new Decision(Step.NONE, required ? "no other member can take over" : "the primary may stay");
        }
        return switch (phase) {
            case IDLE -> {
                enterPhase(Phase.WAITING_FOR_RANK, nowNanos);
                requiredSinceNanos = nowNanos;
                yield new Decision(
                        Step.READ,
                        "the primary has to leave " + primary.get().status().member());
            }
            case WAITING_FOR_RANK -> waitForRank(rank, nowNanos);
            case WAITING_FOR_LOW_LAG -> waitForLowLag(primary.get(), successor.get(), nowNanos);
            default -> waitForCatchUp(primary.get(), successor.get(), nowNanos);
        };
    }

    private static Optional<MemberObservation> successor(GroupView view, Set<String> takenOutFailureDomains) {
        Database database = view.database();
        long term = view.primary().map(KnownPrimary::term).orElse(0L);
        return database.members().stream()
                .filter(server -> mayHoldPrimary(server, takenOutFailureDomains))
                .flatMap(server -> Optional.ofNullable(view.observations().get(server.name())).stream())
                .filter(observation -> observation.status().role() == MemberRole.REPLICA)
                .filter(observation -> observation.status().term() == term)
                .max(Comparator.comparing(observation -> observation.status().position()));
    }

    private Decision waitForRank(int rank, long nowNanos) {
        boolean early = nowNanos - requiredSinceNanos < rank * RANK_DELAY_NANOS;
        if (early || (retrying && nowNanos - retryNotBeforeNanos < 0)) {
            return new Decision(Step.NONE, "another proposer goes first, or the last try was just now");
        }
        enterPhase(Phase.WAITING_FOR_LOW_LAG, nowNanos);
        return new Decision(Step.READ, "looking how far the successor is behind");
    }

    private Decision waitForLowLag(MemberObservation primary, MemberObservation successor, long nowNanos) {
        boolean readRecently = wasReadRecently(primary, nowNanos) && wasReadRecently(successor, nowNanos);
        long lag = primary.status().position().position()
                - successor.status().position().position();
        boolean timedOut = nowNanos - phaseBeganNanos > LAG_WAIT_TIMEOUT_NANOS;
        if (!timedOut && (!readRecently || lag > MAXIMUM_LAG_ENTRIES)) {
            return new Decision(Step.READ, successor.status().member() + " is " + lag + " entries behind");
        }
        enterPhase(Phase.HOLDING, nowNanos);
        holdCount++;
        return new Decision(Step.HOLD, successor.status().member() + " is close, " + lag + " entries behind");
    }

    private static boolean wasReadRecently(MemberObservation observation, long nowNanos) {
        return nowNanos - observation.readBeganNanos() < MAXIMUM_READ_AGE_NANOS;
    }

    private Decision waitForCatchUp(MemberObservation primary, MemberObservation successor, long nowNanos) {
        long settledNanos = phaseBeganNanos + SETTLING_NANOS;
        boolean settled = primary.readBeganNanos() - settledNanos > 0 && successor.readBeganNanos() - settledNanos > 0;
        boolean caughtUp = successor.status().position().covers(primary.status().position());
        if (settled && caughtUp) {
            return propose(
                    successor.status().member() + " has caught up at "
                            + successor.status().position(),
                    nowNanos);
        }
        if (nowNanos - phaseBeganNanos < HOLD_NANOS) {
            return new Decision(Step.READ, "waiting for " + successor.status().member() + " to catch up");
        }
        if (holdCount >= MAXIMUM_HOLDS) {
            return propose(successor.status().member() + " did not catch up in " + holdCount + " holds", nowNanos);
        }
        enterPhase(Phase.WAITING_FOR_LOW_LAG, nowNanos);
        return new Decision(Step.READ, successor.status().member() + " did not catch up; the hold lapses");
    }

    private Decision propose(String reason, long nowNanos) {
        enterPhase(Phase.WAITING_FOR_RANK, nowNanos);
        retrying = true;
        retryNotBeforeNanos = nowNanos + RETRY_DELAY_NANOS;
        holdCount = 0;
        return new Decision(Step.PROPOSE, reason);
    }

    private void enterPhase(Phase next, long nowNanos) {
        phase = next;
        phaseBeganNanos = nowNanos;
    }
}
