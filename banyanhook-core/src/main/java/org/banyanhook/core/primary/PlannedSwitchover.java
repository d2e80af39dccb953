package org.banyanhook.core.primary;

import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import org.banyanhook.core.configuration.BackendServer;
import org.banyanhook.core.configuration.Database;

/**
 * Moves the primary role off a backend server that is leaving or whose failure domain was taken out.
 *
 * <p>It waits until the replication lag of a successor is low, asks for new requests to be held, waits until the
 * successor has caught up, and then asks for a proposal. The hold only spares callers an unknown outcome; safety
 * depends on the proposal alone. Not thread-safe.
 */
public final class PlannedSwitchover {

    /** The maximum time for which new requests are held. */
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

    /** The next action. */
    public enum Step {
        /** No action. */
        NONE,
        /** Read the status of all members. */
        READ,
        /** Ask all daemons to hold new requests for {@link #HOLD_DURATION}. */
        HOLD,
        /** Propose a new primary. */
        PROPOSE
    }

    /**
     * A step and its reason.
     *
     * @param step the next action
     * @param reason the reason, for the log
     */
    public record Decision(Step step, String reason) {}

    /**
     * Returns whether a backend server may hold the primary role.
     *
     * @param server the backend server
     * @param takenOutFailureDomains the failure domains that operators took out
     * @return false if the server is leaving or its failure domain was taken out
     */
    public static boolean mayHoldPrimary(BackendServer server, Set<String> takenOutFailureDomains) {
        return !server.leaving() && !takenOutFailureDomains.contains(server.failureDomain());
    }

    /**
     * Decides the next step.
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
            return new Decision(
                    Step.NONE, required ? "no other member can become primary" : "the primary does not have to move");
        }
        return switch (phase) {
            case IDLE -> {
                enterPhase(Phase.WAITING_FOR_RANK, nowNanos);
                requiredSinceNanos = nowNanos;
                yield new Decision(
                        Step.READ,
                        "the primary must move off " + primary.get().status().member());
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
            return new Decision(
                    Step.NONE, "another proposer ranks first, or the delay after the last proposal has not ended");
        }
        enterPhase(Phase.WAITING_FOR_LOW_LAG, nowNanos);
        return new Decision(Step.READ, "reading the replication lag of the successor");
    }

    private Decision waitForLowLag(MemberObservation primary, MemberObservation successor, long nowNanos) {
        boolean readRecently = wasReadRecently(primary, nowNanos) && wasReadRecently(successor, nowNanos);
        long lag = primary.status().position().position()
                - successor.status().position().position();
        boolean timedOut = nowNanos - phaseBeganNanos > LAG_WAIT_TIMEOUT_NANOS;
        if (!timedOut && (!readRecently || lag > MAXIMUM_LAG_ENTRIES)) {
            return new Decision(Step.READ, successor.status().member() + " lags by " + lag + " entries");
        }
        enterPhase(Phase.HOLDING, nowNanos);
        holdCount++;
        return new Decision(
                Step.HOLD, successor.status().member() + " lags by " + lag + " entries; holding new requests");
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
                    successor.status().member() + " has caught up to "
                            + successor.status().position(),
                    nowNanos);
        }
        if (nowNanos - phaseBeganNanos < HOLD_NANOS) {
            return new Decision(Step.READ, "waiting for " + successor.status().member() + " to catch up");
        }
        if (holdCount >= MAXIMUM_HOLDS) {
            return propose(
                    successor.status().member() + " did not catch up within " + holdCount + " hold periods", nowNanos);
        }
        enterPhase(Phase.WAITING_FOR_LOW_LAG, nowNanos);
        return new Decision(Step.READ, successor.status().member() + " did not catch up before the hold expired");
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
