package org.banyanhook.testbed.line;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Runs gateways as separate processes before a group in which one replica receives each commit. */
final class SynchronousReplicationIT {

    private static final Duration MAXIMUM_START_TIME = Duration.ofSeconds(30);

    /** The users' target: service is back within this time after a failure. */
    private static final Duration MAXIMUM_RECOVERY_TIME = Duration.ofSeconds(12);

    /** How long a member that does not report its status continues not to after the primary has crashed. */
    private static final Duration SILENCE_DURATION = Duration.ofMillis(2_500);

    private static final int WRITE_COUNT = 20;

    @TempDir
    @SuppressWarnings("NullAway.Init")
    private Path folder;

    @SuppressWarnings("NullAway.Init")
    private GatewayFleet fleet;

    /** A state in which the only replica with all commits was left out of the promotion. */
    enum HolderState {
        READY((group, member) -> {}),
        DRAINING(LineGroup::startDraining),
        TAKEN_OUT((group, member) -> group.takeOut("b", true)),
        OVERLOADED((group, member) -> member.overloaded(true)),
        SLOW((group, member) -> member.statusMillis(900)),
        DARK((group, member) -> member.unresponsive(true));

        private final BiConsumer<LineGroup, LineMember> begin;

        HolderState(BiConsumer<LineGroup, LineMember> begin) {
            this.begin = begin;
        }
    }

    @BeforeEach
    void start() throws IOException {
        fleet = new GatewayFleet(folder, 3);
        fleet.synchronousReplicas(1);
        fleet.configureAccounts(GatewayFleet.API_KEYS, 1_000);
        for (int gateway = 0; gateway < 3; gateway++) {
            awaitWrite(gateway, "start-" + gateway, MAXIMUM_START_TIME);
        }
    }

    @AfterEach
    void stop() throws IOException {
        fleet.close();
    }

    /** Review case 6: guards against a promotion without the commits that only one replica has received. */
    @ParameterizedTest(name = "{0}")
    @EnumSource
    void acknowledgedCommitsAreKeptWhileTheirOnlyReplicaIs(HolderState state) throws IOException {
        LineGroup group = fleet.group();
        LineMember primary = group.members().get(0);
        LineMember holder = group.members().get(1);
        LineMember behind = group.members().get(2);
        group.replicationPaused(behind, true);
        List<String> acknowledged = new ArrayList<>();
        for (int number = 0; number < WRITE_COUNT; number++) {
            String item = "item-" + number;
            awaitWrite(number % 3, item, MAXIMUM_START_TIME);
            acknowledged.add(item + " 1");
        }
        state.begin.accept(group, holder);
        group.isolate(primary, true);
        primary.close();
        acknowledged.addAll(writeFor(SILENCE_DURATION));
        group.replicationPaused(behind, false);
        holder.overloaded(false);
        holder.unresponsive(false);
        awaitWrite(0, "after", MAXIMUM_RECOVERY_TIME);
        for (String write : acknowledged) {
            assertWithMessage("%s; last log lines:\n%s", write, fleet.lastLogLines())
                    .that(group.countWrites(write))
                    .isEqualTo(1);
        }
        assertThat(group.rolledBackWrites()).containsNoneIn(acknowledged);
        assertThat(group.requestsInTakenOutDomains()).isEmpty();
    }

    private void awaitWrite(int gateway, String item, Duration bound) throws IOException {
        try {
            await().atMost(bound)
                    .pollInterval(Duration.ofMillis(50))
                    .ignoreExceptions()
                    .until(() -> write(gateway, item));
        } catch (RuntimeException exception) {
            throw new AssertionError(
                    "gateway " + gateway + " served no write; last log lines:\n" + fleet.lastLogLines(), exception);
        }
    }

    private boolean write(int gateway, String item) throws IOException {
        try (LineCaller caller = new LineCaller(fleet.gateways().get(gateway).clientPort())) {
            caller.open("current", GatewayFleet.API_KEYS.get(0));
            return caller.run("WRITE " + item + " 1").stream().anyMatch(line -> line.startsWith("COMPLETE i-"));
        }
    }

    /** Tries to write at all gateways in turn, and returns the writes that were acknowledged. */
    private List<String> writeFor(Duration duration) throws IOException {
        List<String> acknowledged = new ArrayList<>();
        long endNanos = System.nanoTime() + duration.toNanos();
        for (int number = 0; System.nanoTime() - endNanos < 0; number++) {
            if (write(number % 3, "meanwhile-" + number)) {
                acknowledged.add("meanwhile-" + number + " 1");
            }
        }
        return acknowledged;
    }
}
