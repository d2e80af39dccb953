package org.banyanhook.testbed.line;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import org.awaitility.core.ConditionTimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Gateways as processes before members, a store and an authority that misbehave. */
final class GatewayIT {

    private static final Duration START = Duration.ofSeconds(30);

    /** Every change of a primary is over within this time; the users' target. */
    private static final Duration FAILOVER = Duration.ofSeconds(19);

    /** A configuration is in force within this time, and an announcement of leaving is heeded. */
    private static final Duration CONFIGURATION = Duration.ofSeconds(3);

    @TempDir
    @SuppressWarnings("NullAway.Init")
    private Path folder;

    @SuppressWarnings("NullAway.Init")
    private GatewayFleet fleet;

    @BeforeEach
    void start() throws IOException {
        fleet = new GatewayFleet(folder, 3);
        for (int gateway = 0; gateway < 3; gateway++) {
            int number = gateway;
            try {
                eventually(START, () -> {
                    try (LineCaller caller = opened(number, "current", 0)) {
                        return succeeded(caller.run("WRITE start " + number));
                    }
                });
            } catch (ConditionTimeoutException exception) {
                throw new AssertionError("gateway " + number + " does not serve:\n" + fleet.lastLines(), exception);
            }
        }
    }

    @AfterEach
    void stop() throws IOException {
        fleet.close();
    }

    @Test
    void aWriteIsSeenByTheNextReadOfItsSessionAndOfCurrentReadsElsewhere() throws IOException {
        for (LineMember member : fleet.group().members()) {
            fleet.group().deaf(member, true);
        }
        try (LineCaller own = opened(0, "own", 0);
                LineCaller elsewhere = opened(1, "current", 0)) {
            assertThat(succeeded(own.run("WRITE a 1"))).isTrue();
            assertThat(row(own.run("READ a"))).startsWith("1|");
            assertThat(row(elsewhere.run("READ a"))).startsWith("1|");
        }
    }

    @Test
    void aReadThatNoReplicaCanServeGoesToThePrimary() throws IOException {
        try (LineCaller caller = opened(1, "own", 0)) {
            assertThat(succeeded(caller.run("WRITE b 0"))).isTrue();
            for (LineMember member : fleet.group().members()) {
                fleet.group().deaf(member, true);
            }
            for (int number = 1; number <= 20; number++) {
                assertThat(succeeded(caller.run("WRITE b " + number))).isTrue();
                assertThat(row(caller.run("READ b"))).startsWith(number + "|");
            }
        }
    }

    @Test
    void valuesAndPreparedNamesOfSessionsDoNotMix() throws IOException {
        try (LineCaller first = opened(0, "current", 0);
                LineCaller second = opened(0, "current", 0)) {
            first.run("SET place north");
            first.run("PREPARE s READ first");
            second.run("PREPARE s READ second");
            assertThat(row(first.run("EXECUTE s x"))).startsWith("READ first|");
            assertThat(row(second.run("EXECUTE s x"))).startsWith("READ second|");
            assertThat(row(first.run("READ x"))).endsWith("|place north;|account-0");
            assertThat(row(second.run("READ x"))).endsWith("||account-0");
            assertThat(second.run("EXECUTE unheard x").get(0)).startsWith("ERROR NOSTMT");
        }
    }

    @Test
    void aTransactionCommitsWholeOrNotAtAll() throws IOException {
        try (LineCaller caller = opened(0, "current", 0);
                LineCaller reader = opened(1, "current", 0)) {
            assertThat(caller.run("BEGIN"))
                    .containsExactly("COMPLETE -", "READY T -")
                    .inOrder();
            caller.run("WRITE t 1");
            assertThat(row(reader.run("READ t"))).startsWith("-|");
            caller.run("ROLLBACK");
            assertThat(row(reader.run("READ t"))).startsWith("-|");
            caller.run("BEGIN");
            caller.run("WRITE t 2");
            List<String> committed = caller.run("COMMIT");
            assertThat(committed.get(0)).startsWith("COMPLETE i-group");
            assertThat(committed.get(1)).isEqualTo("READY I -");
            assertThat(row(reader.run("READ t"))).startsWith("2|");
        }
    }

    @Test
    void aTransactionThatRestsOrWhoseCallerLeavesIsRolledBack() throws IOException {
        try (LineCaller resting = opened(0, "current", 0)) {
            resting.run("BEGIN");
            resting.run("WRITE rest 1");
            try (LineCaller leaving = opened(0, "current", 1)) {
                leaving.run("BEGIN");
                leaving.run("WRITE rest 2");
            }
            await().pollDelay(Duration.ofSeconds(2)).until(() -> true);
            assertThat(resting.run("COMMIT").get(0)).startsWith("ERROR ABORTED");
            assertThat(row(resting.run("READ rest"))).startsWith("-|");
        }
    }

    @Test
    void withdrawnKeysAndUnknownNamesAreRefused() throws IOException {
        try (LineCaller stranger = new LineCaller(fleet.gateways().get(0).clientPort())) {
            assertThat(stranger.open("unheard", "key-0").get(0)).startsWith("ERROR NODB");
        }
        try (LineCaller stranger = new LineCaller(fleet.gateways().get(0).clientPort())) {
            assertThat(stranger.open("current", "no-key").get(0)).startsWith("ERROR NOAUTH");
        }
        try (LineCaller connected = opened(0, "current", 1)) {
            fleet.configure(List.of("key-0"), 1_000);
            eventually(CONFIGURATION, () -> connected.run("READ x").get(0).startsWith("ERROR NOAUTH"));
        }
    }

    @Test
    void anAccountBeyondItsRateIsRefusedAndTheOtherServed() throws IOException {
        fleet.configure(GatewayFleet.KEYS, 3);
        await().pollDelay(CONFIGURATION).until(() -> true);
        int accepted = 0;
        try (LineCaller flooding = opened(0, "current", 0);
                LineCaller other = opened(0, "current", 1)) {
            long until = System.nanoTime() + Duration.ofSeconds(2).toNanos();
            while (System.nanoTime() < until) {
                accepted += succeeded(flooding.run("READ x")) ? 1 : 0;
            }
            assertThat(succeeded(other.run("READ x"))).isTrue();
        }
        // The rate times two seconds, and the burst.
        assertThat(accepted).isAtMost(3 * 2 + 3);
        assertThat(accepted).isAtLeast(1);
    }

    @Test
    void aFailedPrimaryIsReplacedAndNothingAcknowledgedIsLost() throws IOException {
        try (LineCaller caller = opened(0, "current", 0)) {
            assertThat(succeeded(caller.run("WRITE kept 1"))).isTrue();
            fleet.group().members().get(0).close();
            fleet.store().remove("servers/" + fleet.group().members().get(0).name());
        }
        eventually(FAILOVER, () -> {
            try (LineCaller caller = opened(1, "current", 0)) {
                return succeeded(caller.run("WRITE after 1"))
                        && row(caller.run("READ kept")).startsWith("1|");
            }
        });
        assertThat(fleet.promotions()).isAtLeast(1);
    }

    @Test
    void aPrimaryThatGoesDarkIsReplaced() throws IOException {
        fleet.group().members().get(0).dark(true);
        for (int gateway = 0; gateway < 3; gateway++) {
            int number = gateway;
            eventually(FAILOVER, () -> {
                try (LineCaller caller = opened(number, "current", 0)) {
                    return succeeded(caller.run("WRITE dark " + number));
                }
            });
        }
    }

    @Test
    void aLeavingPrimaryIsReplacedBeforeItEnds() throws IOException {
        LineMember leaving = fleet.group().members().get(0);
        fleet.group().leave(leaving);
        eventually(Duration.ofSeconds(7), () -> !fleet.group().leads(leaving));
        eventually(CONFIGURATION, () -> {
            try (LineCaller caller = opened(2, "current", 0)) {
                return succeeded(caller.run("WRITE moved 1"));
            }
        });
    }

    @Test
    void aWriteWhoseAnswerIsLostIsInDoubtAndNotRunAgain() throws IOException {
        fleet.group().members().get(0).losesAnswers(true);
        try (LineCaller caller = opened(0, "current", 0)) {
            assertThat(caller.run("WRITE once 1").get(0)).startsWith("ERROR INDOUBT");
        }
        fleet.group().members().get(0).losesAnswers(false);
        assertThat(fleet.group().count("once 1")).isEqualTo(1);
    }

    @Test
    void serviceGoesOnWhileTheStoreIsAway() throws IOException {
        fleet.store().refuse(true);
        await().pollDelay(Duration.ofSeconds(4)).until(() -> true);
        try (LineCaller caller = opened(0, "current", 0)) {
            List<String> answer = caller.run("WRITE away 1");
            assertWithMessage("%s", answer).that(succeeded(answer)).isTrue();
        }
        fleet.store().refuse(false);
        fleet.store().forgetHistory();
        fleet.configure(List.of("key-0"), 1_000);
        eventually(Duration.ofSeconds(5), () -> {
            try (LineCaller caller = new LineCaller(fleet.gateways().get(0).clientPort())) {
                return caller.open("current", "key-1").get(0).startsWith("ERROR NOAUTH");
            }
        });
    }

    @Test
    void aTerminatedGatewayFinishesWhatIsUnderWay() throws IOException {
        try (LineCaller caller = opened(0, "current", 0)) {
            caller.run("BEGIN");
            caller.run("WRITE drained 1");
            fleet.gateways().get(0).process().terminate();
            assertThat(succeeded(caller.run("COMMIT"))).isTrue();
        }
        eventually(
                Duration.ofSeconds(3), () -> !fleet.gateways().get(0).process().isAlive());
        assertThat(fleet.group().count("drained 1")).isEqualTo(1);
    }

    /** Found by the soak, seed 3006: a primary names its new term only with its first commit. */
    @Test
    void aPrimaryWhoseTermAReplicaNamedFirstIsBelievedAgain() throws IOException {
        fleet.group().promote(fleet.group().members().get(1).name());
        try (LineCaller current = opened(0, "current", 0);
                LineCaller bounded = opened(0, "bounded", 0);
                LineCaller elsewhere = opened(1, "current", 0)) {
            eventually(CONFIGURATION, () -> succeeded(current.run("READ term")));
            eventually(CONFIGURATION, () -> succeeded(elsewhere.run("WRITE term 1")));
            for (int count = 0; count < 20; count++) {
                bounded.run("READ term");
            }
            eventually(FAILOVER, () -> succeeded(current.run("WRITE term 2")));
        }
    }

    private LineCaller opened(int gateway, String database, int account) throws IOException {
        LineCaller caller = new LineCaller(fleet.gateways().get(gateway).clientPort());
        caller.open(database, GatewayFleet.KEYS.get(account));
        return caller;
    }

    private static boolean succeeded(List<String> answer) {
        return answer.stream().anyMatch(line -> line.startsWith("COMPLETE i-"));
    }

    private static String row(List<String> answer) {
        return answer.stream()
                .filter(line -> line.startsWith("DATAROW "))
                .map(line -> line.substring("DATAROW ".length()))
                .findFirst()
                .orElse(answer.toString());
    }

    private static void eventually(Duration bound, Callable<Boolean> condition) {
        await().atMost(bound)
                .pollInterval(Duration.ofMillis(50))
                .ignoreExceptions()
                .until(condition);
    }
}
