package org.banyanhook.core.command;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.Sets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.banyanhook.core.configuration.AppliedCommand;
import org.banyanhook.core.configuration.ConfigurationState;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.error.Execution;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.junit.jupiter.api.Test;

/**
 * Runs concurrent change attempts of several operators against a simulated platform that loses swaps, delays them or
 * loses their answers, while daemons restart. Guards against lost changes, changes applied twice, overwritten
 * conflicting changes, and changes reported as not run that took effect.
 */
class ChangeAttemptTest {

    private static final int SEED_COUNT = 400;
    private static final int EVENTS_PER_SEED = 400;
    private static final int DAEMON_COUNT = 4;
    private static final int OPERATOR_COUNT = 5;
    private static final List<String> COMMANDS = List.of(
            "set account plant rate=%d",
            "set account plant burst=%d",
            "set account audit rate=%d",
            "set route inject-db status maximum-age-millis=%d",
            "take-out failure-domain a",
            "return failure-domain a",
            "take-out failure-domain b",
            "withdraw key plant k1",
            "withdraw key plant k2",
            "drain backend-server m1",
            "drain entry-vm e1",
            "return entry-vm e1");

    @Test
    void racingAttemptsLoseNoChangeAndApplyNoneTwice() throws RefusalException {
        for (long seed = 1; seed <= SEED_COUNT; seed++) {
            RaceSimulation race = new RaceSimulation(seed);
            race.run();
            race.check();
        }
    }

    @Test
    void reportsNotRunOnlyIfNoSwapIsPending() throws RefusalException {
        FleetConfiguration original = TestConfigurations.small();
        ConfigurationChange change = (ConfigurationChange) CommandParser.parse("set account plant rate=20");
        ChangeAttempt attempt = new ChangeAttempt(new ChangeRequest("c", 1, change));
        attempt.begin();
        assertThat(attempt.onDeadline().refusal().execution()).isEqualTo(Execution.NOT_RUN);

        ChangeStep.Swap swap = (ChangeStep.Swap) attempt.onRead(original, 1, Set.of());
        attempt.onSwapUnanswered(swap.replacement());
        assertThat(attempt.onDeadline().refusal().execution()).isEqualTo(Execution.UNKNOWN);
        attempt.onRead(original, 1, Set.of());
        assertThat(attempt.onDeadline().refusal().execution()).isEqualTo(Execution.UNKNOWN);
        FleetConfiguration changedByAnother = original.toBuilder().version(2).build();
        attempt.onRead(changedByAnother, 2, Set.of());
        assertThat(attempt.onDeadline().refusal().execution()).isEqualTo(Execution.NOT_RUN);
    }

    /** One interleaving of events, determined by its seed. */
    private static final class RaceSimulation {
        private final long seed;
        private final Random random;
        private final List<FleetConfiguration> accepted = new ArrayList<>();
        private final List<Daemon> daemons = new ArrayList<>();
        private final List<Operator> operators = new ArrayList<>();
        private final List<Runnable> delayedSwaps = new ArrayList<>();
        private final Map<String, Long> basedOnVersions = new HashMap<>();
        private final Set<String> notRun = new HashSet<>();
        private final Map<String, Long> finished = new HashMap<>();

        RaceSimulation(long seed) {
            this.seed = seed;
            this.random = new Random(seed);
            accepted.add(TestConfigurations.small());
            for (int index = 0; index < DAEMON_COUNT; index++) {
                daemons.add(new Daemon());
            }
            for (int index = 0; index < OPERATOR_COUNT; index++) {
                operators.add(new Operator("op" + index));
            }
        }

        void run() throws RefusalException {
            for (int event = 0; event < EVENTS_PER_SEED; event++) {
                int choice = random.nextInt(20);
                if (choice == 0) {
                    daemons.set(random.nextInt(DAEMON_COUNT), new Daemon());
                } else if (choice == 1 && !delayedSwaps.isEmpty()) {
                    delayedSwaps.remove(random.nextInt(delayedSwaps.size())).run();
                } else if (choice == 2) {
                    daemon().withdraw(TestConfigurations.hash("k" + (1 + random.nextInt(3))));
                } else if (choice < 5) {
                    daemon().receiveFrom(daemon());
                } else if (choice < 7) {
                    daemon().receiveDocument(accepted.get(random.nextInt(accepted.size())));
                } else {
                    operators.get(random.nextInt(OPERATOR_COUNT)).takeStep();
                }
            }
            delayedSwaps.forEach(Runnable::run);
        }

        void check() throws RefusalException {
            Set<String> ids = new HashSet<>();
            for (int index = 1; index < accepted.size(); index++) {
                FleetConfiguration before = accepted.get(index - 1);
                FleetConfiguration after = accepted.get(index);
                AppliedCommand command =
                        after.recentCommands().get(after.recentCommands().size() - 1);
                assertWithMessage("seed %s: %s applied once", seed, command)
                        .that(ids.add(command.id()))
                        .isTrue();
                ConfigurationChange change = (ConfigurationChange) CommandParser.parse(command.text());
                FleetConfiguration expected = change.applyTo(before).toBuilder()
                        .version(before.version() + 1)
                        .recentCommands(after.recentCommands())
                        .withdrawnKeyHashes(after.withdrawnKeyHashes())
                        .build();
                assertWithMessage("seed %s: version %s", seed, after.version())
                        .that(after)
                        .isEqualTo(expected);
                assertWithMessage("seed %s", seed)
                        .that(after.withdrawnKeyHashes())
                        .containsAtLeastElementsIn(before.withdrawnKeyHashes());
                checkConflicts(command, change);
            }
            finished.forEach((id, version) -> assertWithMessage("seed %s: %s finished", seed, id)
                    .that(accepted.get((int) (version - 1)).recentCommands().stream()
                            .anyMatch(command -> command.id().equals(id) && command.version() == version))
                    .isTrue());
            assertWithMessage("seed %s: refused as not run", seed).that(ids).containsNoneIn(notRun);
        }

        private void checkConflicts(AppliedCommand command, ConfigurationChange change) {
            if (change.commutesWithAll()) {
                return;
            }
            long base = basedOnVersions.getOrDefault(command.id(), 0L);
            for (FleetConfiguration between : accepted.subList((int) base, (int) command.version() - 1)) {
                AppliedCommand other =
                        between.recentCommands().get(between.recentCommands().size() - 1);
                assertWithMessage("seed %s: %s overwrote %s without a conflict", seed, command, other)
                        .that(other.subjects())
                        .containsNoneIn(command.subjects());
            }
        }

        private Daemon daemon() {
            return daemons.get(random.nextInt(DAEMON_COUNT));
        }

        private FleetConfiguration newest() {
            return accepted.get(accepted.size() - 1);
        }

        private boolean swap(long expectedVersion, FleetConfiguration next) {
            if (newest().version() != expectedVersion) {
                return false;
            }
            accepted.add(next);
            return true;
        }

        /** One entry VM with the configuration that it has received. */
        private final class Daemon {
            private final ConfigurationState state = new ConfigurationState();

            void withdraw(String hash) {
                state.recordWithdrawals(Set.of(hash));
            }

            void receiveFrom(Daemon peer) {
                receiveDocument(peer.state.effective());
                state.recordWithdrawals(peer.state.effective().withdrawnKeyHashes());
            }

            void receiveDocument(FleetConfiguration document) {
                long versionBefore = state.version();
                Set<String> withdrawnBefore = state.effective().withdrawnKeyHashes();
                state.recordDocument(document);
                assertWithMessage("seed %s: version never decreases", seed)
                        .that(state.version())
                        .isAtLeast(versionBefore);
                assertWithMessage("seed %s: version is the highest received", seed)
                        .that(state.version())
                        .isAtLeast(document.version());
                assertWithMessage("seed %s: withdrawals only grow", seed)
                        .that(state.effective().withdrawnKeyHashes())
                        .containsAtLeastElementsIn(Sets.union(withdrawnBefore, state.unwrittenWithdrawals()));
            }
        }

        /** An operator whose tool retries a command under the same id until the outcome is known, or gives up. */
        private final class Operator {
            private final String name;
            private int commandCount;
            private boolean outcomeUnknown;
            private RunningAttempt running;

            Operator(String name) {
                this.name = name;
                this.running = nextCommand();
            }

            void takeStep() {
                if (random.nextInt(15) == 0) {
                    handleStep(running.attempt.onDeadline());
                } else if (running.step instanceof ChangeStep.Swap swap) {
                    handleStep(swapUnderFaults(swap.replacement()));
                } else if (random.nextInt(4) == 0) {
                    handleStep(running.attempt.onReadUnanswered());
                } else {
                    handleStep(read());
                }
            }

            private ChangeStep read() {
                ConfigurationState state = running.daemon.state;
                FleetConfiguration read = newest();
                ChangeStep next = running.attempt.onRead(read, state.version(), state.unwrittenWithdrawals());
                running.daemon.receiveDocument(read);
                return next;
            }

            private ChangeStep swapUnderFaults(FleetConfiguration next) {
                basedOnVersions.put(running.request.commandId(), running.request.basedOnVersion());
                long expected = next.version() - 1;
                switch (random.nextInt(5)) {
                    case 0:
                        swap(expected, next);
                        return running.attempt.onSwapUnanswered(next);
                    case 1:
                        delayedSwaps.add(() -> swap(expected, next));
                        return running.attempt.onSwapUnanswered(next);
                    case 2:
                        return running.attempt.onSwapUnanswered(next);
                    default:
                        return swap(expected, next)
                                ? running.attempt.onSwapped(next)
                                : running.attempt.onSwapConflict();
                }
            }

            private void handleStep(ChangeStep step) {
                running.step = step;
                if (step instanceof ChangeStep.Finished done) {
                    finished.put(running.request.commandId(), done.version());
                    running = nextCommand();
                } else if (step instanceof ChangeStep.Refused refused) {
                    giveUpOrRetry(refused.refusal());
                }
            }

            private void giveUpOrRetry(RefusalException refusal) {
                outcomeUnknown |= refusal.execution() == Execution.UNKNOWN;
                boolean outOfTime = refusal.kind() == RefusalKind.PLATFORM_UNAVAILABLE;
                if (outOfTime && (outcomeUnknown || random.nextBoolean())) {
                    running = new RunningAttempt(running.request, daemon());
                } else {
                    notRun.add(running.request.commandId());
                    running = nextCommand();
                }
            }

            private RunningAttempt nextCommand() {
                outcomeUnknown = false;
                String text = String.format(COMMANDS.get(random.nextInt(COMMANDS.size())), random.nextInt(50));
                Daemon daemon = daemon();
                try {
                    ConfigurationChange change = (ConfigurationChange) CommandParser.parse(text);
                    return new RunningAttempt(
                            new ChangeRequest(name + "-" + commandCount++, daemon.state.version(), change), daemon);
                } catch (RefusalException exception) {
                    throw new AssertionError("seed " + seed, exception);
                }
            }
        }

        /** One attempt of a command at one entry VM. */
        private static final class RunningAttempt {
            private final ChangeRequest request;
            private final ChangeAttempt attempt;
            private final Daemon daemon;
            private ChangeStep step;

            RunningAttempt(ChangeRequest request, Daemon daemon) {
                this.request = request;
                this.attempt = new ChangeAttempt(request);
                this.daemon = daemon;
                this.step = attempt.begin();
            }
        }
    }
}
