package org.banyanhook.core.transaction;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.banyanhook.core.error.Execution;
import org.banyanhook.core.error.RefusalException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class TransactionRegistryTest {

    private static final TransactionId ID = new TransactionId("vm-1", 7, "db", "n");

    private final TransactionRegistry registry = new TransactionRegistry(10, 100, 1000);

    private void enterState(String state) {
        if (state.equals("absent")) {
            return;
        }
        registry.open(ID, "acme", 0);
        switch (state) {
            case "running" -> registry.startStep(ID, "acme", TransactionStep.STATEMENT, 1);
            case "committing" -> registry.startStep(ID, "acme", TransactionStep.COMMIT, 1);
            case "expired" -> assertThat(registry.expire(10)).containsExactly(ID);
            case "commit sent" -> {
                registry.startStep(ID, "acme", TransactionStep.COMMIT, 1);
                registry.end(ID, true, 2);
            }
            case "commit refused" -> {
                registry.startStep(ID, "acme", TransactionStep.COMMIT, 1);
                registry.end(ID, false, 2);
            }
            default -> assertThat(state).isEqualTo("idle");
        }
    }

    @ParameterizedTest
    @CsvSource({
        "absent, acme, STATEMENT, ROLLED_BACK, NOT_RUN",
        "absent, acme, COMMIT, COMMIT_MAYBE_SENT, UNKNOWN",
        "idle, acme, STATEMENT, RUN, NOT_RUN",
        "idle, acme, COMMIT, RUN, NOT_RUN",
        "idle, other, COMMIT, UNKNOWN, NOT_RUN",
        "running, acme, STATEMENT, BUSY, NOT_RUN",
        "running, acme, COMMIT, BUSY, NOT_RUN",
        "running, other, ROLLBACK, UNKNOWN, NOT_RUN",
        "committing, acme, COMMIT, BUSY, NOT_RUN",
        "expired, acme, STATEMENT, ROLLED_BACK, NOT_RUN",
        "expired, acme, COMMIT, ROLLED_BACK, NOT_RUN",
        "commit sent, acme, COMMIT, COMMIT_MAYBE_SENT, UNKNOWN",
        "commit sent, acme, ROLLBACK, COMMIT_MAYBE_SENT, UNKNOWN",
        "commit refused, acme, COMMIT, ROLLED_BACK, NOT_RUN",
    })
    void decidesEachStepInEachState(
            String state, String account, TransactionStep step, StepDecision decision, Execution execution) {
        enterState(state);
        StepDecision actual = registry.startStep(ID, account, step, 20);
        assertThat(actual).isEqualTo(decision);
        assertThat(actual.execution()).isEqualTo(execution);
    }

    @Test
    void expiresAnActiveTransactionAtItsLifetime() {
        registry.open(ID, "acme", 0);
        for (long now = 1; now < 100; now += 5) {
            assertThat(registry.expire(now)).isEmpty();
            registry.startStep(ID, "acme", TransactionStep.STATEMENT, now);
            registry.continueAfterStep(ID, now + 1);
        }
        assertThat(registry.expire(100)).containsExactly(ID);
        assertThat(registry.openCount("db")).isEqualTo(0);
    }

    @Test
    void refusesToEndAStepThatDoesNotRun() {
        registry.open(ID, "acme", 0);
        assertThrows(IllegalStateException.class, () -> registry.continueAfterStep(ID, 1));
    }

    @Test
    void decodesWhatItEncoded() throws RefusalException {
        TransactionId id = new TransactionId("vm/1 ü", Long.MAX_VALUE, "db", "n");
        assertThat(TransactionId.decode(id.encode())).isEqualTo(id);
        assertThat(id.encode()).matches("[A-Za-z0-9_-]+");
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "x", "?", "dm0tMQo3", "dm0tMQpzZXZlbgpkYgpu"})
    void refusesTextThatIsNotAnId(String text) {
        assertThrows(RefusalException.class, () -> TransactionId.decode(text));
    }

    /**
     * Runs random steps, ends and expiries. At most one step of a transaction runs at a time, and a step is refused as
     * rolled back only if no commit was sent: a caller that repeats such a transaction would otherwise run it twice.
     */
    @Test
    void neverReportsRolledBackAfterACommitMayHaveBeenSent() {
        for (long seed = 1; seed <= 500; seed++) {
            Random random = new Random(seed);
            TransactionRegistry transactions = new TransactionRegistry(10, 100, 1_000_000);
            Map<TransactionId, Boolean> commitSent = new HashMap<>();
            Map<TransactionId, TransactionStep> running = new HashMap<>();
            for (long now = 1; now <= 300; now++) {
                TransactionId id = new TransactionId("vm", 1, "db", "n" + random.nextInt(5));
                if (!commitSent.containsKey(id)) {
                    transactions.open(id, "acme", now);
                    commitSent.put(id, false);
                }
                TransactionStep active = running.get(id);
                if (active != null && random.nextBoolean()) {
                    running.remove(id);
                    boolean continues = active == TransactionStep.STATEMENT && random.nextBoolean();
                    if (continues) {
                        transactions.continueAfterStep(id, now);
                    } else {
                        transactions.end(id, active == TransactionStep.COMMIT, now);
                    }
                    commitSent.merge(id, active == TransactionStep.COMMIT, Boolean::logicalOr);
                    continue;
                }
                transactions.expire(now).forEach(expired -> assertThat(running).doesNotContainKey(expired));
                TransactionStep step = random.nextInt(4) == 0 ? TransactionStep.COMMIT : TransactionStep.STATEMENT;
                StepDecision decision = transactions.startStep(id, "acme", step, now);
                if (decision == StepDecision.RUN) {
                    assertWithMessage("seed %s", seed)
                            .that(running.put(id, step))
                            .isNull();
                }
                if (decision == StepDecision.ROLLED_BACK) {
                    assertWithMessage("seed %s", seed).that(commitSent.get(id)).isFalse();
                }
            }
        }
    }
}
