package org.banyanhook.testbed.line;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.banyanhook.testbed.fleet.ChildProcess;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Stops gateway processes while callers use them, and checks what the callers receive and how the processes end. */
final class PlannedStopIT {

    /** The grace period in the settings of the gateways, after which the platform kills a process. */
    private static final long GRACE_MILLIS = 3_000;

    private static final Duration MAXIMUM_START_TIME = Duration.ofSeconds(30);
    private static final long CALLER_TIMEOUT_SECONDS = 30;
    private static final int CALLERS_OF_EACH_KIND = 3;
    private static final long MEMBER_WORK_MILLIS = 300;
    private static final long SETTLE_MILLIS = 500;

    @TempDir
    @SuppressWarnings("NullAway.Init")
    private Path folder;

    @SuppressWarnings("NullAway.Init")
    private GatewayFleet fleet;

    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final ConcurrentLinkedQueue<WitnessCaller> callers = new ConcurrentLinkedQueue<>();
    private final List<Future<?>> tasks = new ArrayList<>();
    private final AtomicBoolean callersStopped = new AtomicBoolean();

    @AfterEach
    void stop() throws IOException {
        callersStopped.set(true);
        for (WitnessCaller caller : callers) {
            caller.close();
        }
        executor.shutdownNow();
        fleet.close();
    }

    /** Guards against statements of open transactions that are passed on too late to be answered. */
    @Test
    void statementsOfTransactionsThatGoOnToTheEndAreNotCutOff() throws Exception {
        startFleet(1);
        startTransactions(MEMBER_WORK_MILLIS);
        OptionalInt exitCode = awaitEnd(process(0), terminate(process(0)));
        awaitCallers();
        assertNothingCutOff();
        assertEndedByItself(process(0), exitCode);
    }

    /** Guards against a write that is left without an answer because its member is silent when the process ends. */
    @Test
    void aWriteThatItsMemberDoesNotAnswerIsReportedAsIndoubt() throws Exception {
        startFleet(1);
        WitnessCaller caller = connect(0);
        assertThat(caller.open()).isTrue();
        setMemberWork(10_000);
        long terminatedNanos = terminate(process(0));
        // Later than the time limit of a statement before the end, and before inactive sessions are closed.
        Thread.sleep(800);
        Future<List<String>> answer = executor.submit(() -> caller.run("WRITE silent 1"));
        OptionalInt exitCode = awaitEnd(process(0), terminatedNanos);
        assertThat(answer.get(CALLER_TIMEOUT_SECONDS, TimeUnit.SECONDS).get(0)).startsWith("ERROR INDOUBT");
        assertNothingCutOff();
        assertEndedByItself(process(0), exitCode);
    }

    /** Guards against a schedule that counts from the end of a pause and passes the end of the grace period. */
    @Test
    void aProcessThatWasPausedWhenItWasStoppedEndsWithinTheGracePeriod() throws Exception {
        startFleet(1);
        startTransactions(MEMBER_WORK_MILLIS);
        process(0).freeze();
        long terminatedNanos = terminate(process(0));
        Thread.sleep(600);
        process(0).thaw();
        OptionalInt exitCode = awaitEnd(process(0), terminatedNanos);
        awaitCallers();
        assertNothingCutOff();
        assertEndedByItself(process(0), exitCode);
    }

    /** Guards against steps of the stop that are taken before requests which arrived in a pause have been read. */
    @Test
    void shortPausesDuringTheStopCutNothingOff() throws Exception {
        startFleet(1);
        startTransactions(MEMBER_WORK_MILLIS);
        long terminatedNanos = terminate(process(0));
        while (process(0).isAlive() && millisSince(terminatedNanos) < GRACE_MILLIS) {
            pause(process(0), 120);
            Thread.sleep(30);
        }
        awaitEnd(process(0), terminatedNanos);
        awaitCallers();
        assertNothingCutOff();
    }

    /** Guards against a signal that arrives between the opening of the client port and the handler of signals. */
    @Test
    void aProcessThatIsStoppedWhileItStartsGoesThroughItsStop() throws Exception {
        fleet = new GatewayFleet(folder, 3);
        for (int gateway = 0; gateway < 3; gateway++) {
            int number = gateway;
            tasks.add(executor.submit(() -> {
                WitnessCaller caller = connectOnceOpen(number);
                caller.sendOpen();
                caller.send("READ x");
                process(number).terminate();
                if (caller.receiveOpening()) {
                    caller.receive();
                    assertThat(caller.violations(fleet.group())).isEmpty();
                }
                caller.close();
                // A start may take longer than the grace period on a slow machine; only the way it ends is checked.
                assertEndedByItself(process(number), process(number).awaitEnd(MAXIMUM_START_TIME.toMillis()));
                return number;
            }));
        }
        awaitCallers();
    }

    /** Guards against statements that new sessions send at once, while gateways end and their neighbours too. */
    @Test
    void statementsSentWithTheOpeningOfASessionAreNotCutOffWhenTwoGatewaysStop() throws Exception {
        startFleet(3);
        setMemberWork(50);
        for (int number = 0; number < 2 * CALLERS_OF_EACH_KIND; number++) {
            Random random = new Random(number);
            tasks.add(executor.submit(() -> reconnectUntilStopped(random)));
        }
        Thread.sleep(SETTLE_MILLIS);
        long firstNanos = terminate(process(0));
        Thread.sleep(SETTLE_MILLIS);
        long secondNanos = terminate(process(1));
        OptionalInt firstExitCode = awaitEnd(process(0), firstNanos);
        OptionalInt secondExitCode = awaitEnd(process(1), secondNanos);
        callersStopped.set(true);
        awaitCallers();
        assertNothingCutOff();
        assertEndedByItself(process(0), firstExitCode);
        assertEndedByItself(process(1), secondExitCode);
    }

    private void startFleet(int gatewayCount) throws IOException {
        fleet = new GatewayFleet(folder, gatewayCount);
        for (int gateway = 0; gateway < gatewayCount; gateway++) {
            int port = fleet.gateways().get(gateway).clientPort();
            await().atMost(MAXIMUM_START_TIME)
                    .pollInterval(Duration.ofMillis(50))
                    .ignoreExceptions()
                    .until(() -> {
                        try (WitnessCaller caller = new WitnessCaller(port)) {
                            return caller.open()
                                    && caller.run("WRITE start 1").get(0).startsWith("COMPLETE i-");
                        }
                    });
        }
    }

    private void setMemberWork(long millis) {
        fleet.group().members().forEach(member -> member.workMillis(millis));
    }

    /** Opens transactions on the first gateway that send statements until their connections end. */
    private void startTransactions(long memberWorkMillis) throws IOException, InterruptedException {
        setMemberWork(memberWorkMillis);
        for (int number = 0; number < CALLERS_OF_EACH_KIND; number++) {
            Random random = new Random(number);
            WitnessCaller oneAtATime = connect(0);
            tasks.add(executor.submit(() -> runTransactions(oneAtATime, random)));
            WitnessCaller ahead = connect(0);
            assertThat(ahead.open()).isTrue();
            tasks.add(executor.submit(() -> sendAhead(ahead, random)));
            tasks.add(executor.submit(() -> receiveUntilEnd(ahead)));
        }
        Thread.sleep(SETTLE_MILLIS);
    }

    private static Void runTransactions(WitnessCaller caller, Random random) throws InterruptedException {
        assertThat(caller.open()).isTrue();
        List<String> answer = caller.run("BEGIN");
        while (!WitnessCaller.isEnd(answer)) {
            if (answer.get(0).startsWith("ERROR")) {
                caller.run("ROLLBACK");
                answer = caller.run("BEGIN");
            } else {
                answer = caller.run("READ x");
            }
            shortPause(random);
        }
        return null;
    }

    private static Void sendAhead(WitnessCaller caller, Random random) throws InterruptedException {
        boolean sent = caller.send("BEGIN");
        while (sent) {
            shortPause(random);
            sent = caller.send("READ x");
        }
        return null;
    }

    private static Void receiveUntilEnd(WitnessCaller caller) {
        List<String> answer = caller.receive();
        while (!WitnessCaller.isEnd(answer)) {
            answer = caller.receive();
        }
        return null;
    }

    private Void reconnectUntilStopped(Random random) throws InterruptedException {
        while (!callersStopped.get()) {
            try {
                WitnessCaller caller = connect(random.nextInt(3));
                if (caller.sendOpen() && caller.send("WRITE item 1") && caller.receiveOpening()) {
                    caller.receive();
                }
                caller.close();
            } catch (IOException exception) {
                // The gateway has ended; the next session goes to another one.
                shortPause(random);
            }
        }
        return null;
    }

    private WitnessCaller connect(int gateway) throws IOException {
        WitnessCaller caller = new WitnessCaller(fleet.gateways().get(gateway).clientPort());
        callers.add(caller);
        return caller;
    }

    private WitnessCaller connectOnceOpen(int gateway) throws InterruptedException {
        while (true) {
            try {
                return connect(gateway);
            } catch (IOException exception) {
                assertThat(process(gateway).isAlive()).isTrue();
                Thread.sleep(1);
            }
        }
    }

    private ChildProcess process(int gateway) {
        return fleet.gateways().get(gateway).process();
    }

    private static long terminate(ChildProcess process) {
        long terminatedNanos = System.nanoTime();
        process.terminate();
        return terminatedNanos;
    }

    private static void pause(ChildProcess process, long millis) throws IOException, InterruptedException {
        try {
            process.freeze();
            Thread.sleep(millis);
            process.thaw();
        } catch (IOException exception) {
            assertWithMessage(exception.toString()).that(process.isAlive()).isFalse();
        }
    }

    /** Waits for the end of a process, and kills it at the end of the grace period, as the platform does. */
    private static OptionalInt awaitEnd(ChildProcess process, long terminatedNanos) throws InterruptedException {
        OptionalInt exitCode = process.awaitEnd(GRACE_MILLIS - millisSince(terminatedNanos));
        if (exitCode.isEmpty()) {
            process.kill();
        }
        return exitCode;
    }

    private void awaitCallers() throws Exception {
        for (Future<?> task : tasks) {
            task.get(CALLER_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    private void assertNothingCutOff() throws IOException {
        List<String> violations = callers.stream()
                .flatMap(caller -> caller.violations(fleet.group()).stream())
                .toList();
        assertWithMessage(fleet.lastLogLines()).that(violations).isEmpty();
    }

    private static void assertEndedByItself(ChildProcess process, OptionalInt exitCode) throws IOException {
        String log = Files.readString(process.output());
        assertWithMessage("the exit code, empty if the grace period passed; log:\n%s", log)
                .that(exitCode)
                .isEqualTo(OptionalInt.of(0));
        assertThat(log).contains("\"event\":\"stopped\"");
    }

    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    private static void shortPause(Random random) throws InterruptedException {
        Thread.sleep(50 + random.nextInt(50));
    }
}
