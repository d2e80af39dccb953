package org.banyanhook.testbed.line;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.awaitility.core.ConditionTimeoutException;
import org.banyanhook.testbed.fleet.ChildProcess;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs one gateway with a small heap and low limits, and clients that misbehave. It has to live, to stay under a bound
 * of memory and descriptors, and to serve an ordinary request while the connections of these clients are still open. No
 * test checks a time or how many of the misbehaving requests are served.
 */
final class MisbehavingClientsIT {

    private static final int HEAP_MEGABYTES = 64;
    private static final int MEMORY_MEGABYTES = 192;
    private static final int MAXIMUM_DESCRIPTORS = 1_200;

    /** The highest resident memory. A gateway without load has 74 to 79 MB with a heap of 160 MB. */
    private static final long MAXIMUM_RESIDENT_KILOBYTES = 160 << 10;

    /** The bound for a process to start, and for an ordinary client to be served by retrying. */
    private static final Duration MAXIMUM_WAIT = Duration.ofSeconds(30);

    private static final Duration LOAD_TIME = Duration.ofSeconds(8);

    private static final int NEARLY_A_MEBIBYTE = 950_000;

    private static final String STARTUP = "STARTUP current key-0";

    @TempDir
    @SuppressWarnings("NullAway.Init")
    private Path folder;

    @SuppressWarnings("NullAway.Init")
    private GatewayFleet fleet;

    @BeforeEach
    void start() throws IOException {
        GatewayFleet.ProcessLimits limits = new GatewayFleet.ProcessLimits(
                List.of("-Xmx" + HEAP_MEGABYTES + "m", "-Xss256k"),
                List.of("memory_mb = " + MEMORY_MEGABYTES, "max_fds = " + MAXIMUM_DESCRIPTORS));
        fleet = new GatewayFleet(folder, 1, GatewayFleet.EndpointProvider.DIRECT, limits);
        awaitOrdinaryRequest("before the load");
    }

    @AfterEach
    void stop() throws IOException {
        fleet.close();
    }

    /** Guards against whole messages that are decoded and queued without a bound. */
    @Test
    void manyPipelinedMessagesOfLegalSize() throws Exception {
        try (ClientCrowd crowd = crowd(100).open(STARTUP, LOAD_TIME)) {
            byte[] message = bytes("QUERY 1 READ " + "x".repeat(NEARLY_A_MEBIBYTE) + "\r\n");
            crowd.send(message, 10L * message.length, 1 << 16, LOAD_TIME);
            checkProcess();
        }
    }

    /** Guards against the memory of messages that are sent in one piece and not finished. */
    @Test
    void unfinishedMessagesInOnePiece() throws Exception {
        try (ClientCrowd crowd = crowd(200).open(STARTUP, LOAD_TIME)) {
            crowd.send(bytes("QUERY 1 READ " + "x".repeat(NEARLY_A_MEBIBYTE)), NEARLY_A_MEBIBYTE, 1 << 20, LOAD_TIME);
            checkProcess();
        }
    }

    /** Guards against decoding whose cost or memory grows with the number of pieces of an unfinished message. */
    @Test
    void unfinishedMessagesInSmallPieces() throws Exception {
        try (ClientCrowd crowd = crowd(200).open(STARTUP, LOAD_TIME)) {
            crowd.send(bytes("QUERY 1 READ " + "x".repeat(NEARLY_A_MEBIBYTE)), NEARLY_A_MEBIBYTE, 2_000, LOAD_TIME);
            checkProcess();
        }
    }

    /** Guards against clients that hold memory before they have identified themselves. */
    @Test
    void unfinishedFirstMessages() throws Exception {
        try (ClientCrowd crowd = crowd(300)) {
            crowd.send(
                    bytes("STARTUP current " + "x".repeat(NEARLY_A_MEBIBYTE)), NEARLY_A_MEBIBYTE, 1 << 16, LOAD_TIME);
            checkProcess();
        }
    }

    /** Guards against messages without an end that are accumulated. */
    @Test
    void messagesFarOverTheLimit() throws Exception {
        try (ClientCrowd crowd = crowd(100).open(STARTUP, LOAD_TIME)) {
            crowd.send(bytes("QUERY 1 READ " + "x".repeat(NEARLY_A_MEBIBYTE)), 32 << 20, 1 << 16, LOAD_TIME);
            checkProcess();
        }
    }

    /** Guards against small requests that are queued, and answers that are held, without a bound. */
    @Test
    void manySmallRequestsWithoutReadingAnswers() throws Exception {
        try (ClientCrowd crowd = crowd(300).open(STARTUP, LOAD_TIME)) {
            crowd.send(bytes("QUERY 1 READ x\r\n"), 16 * 20_000, 1 << 16, LOAD_TIME);
            checkProcess();
        }
    }

    /** Guards against large answers that are held for clients that don't read. */
    @Test
    void largeAnswersThatNobodyReads() throws Exception {
        try (ClientCrowd crowd = crowd(60).open(STARTUP, LOAD_TIME)) {
            byte[] request = bytes("QUERY 1 READ extract-5000\r\n");
            crowd.send(request, request.length, request.length, LOAD_TIME);
            Thread.sleep(2_000);
            checkProcess();
        }
    }

    /** Guards against slow senders, each of which holds little, in a number that holds much. */
    @Test
    void slowSenders() throws Exception {
        try (ClientCrowd crowd = crowd(700).open(STARTUP, LOAD_TIME)) {
            byte[] text = bytes("QUERY 1 READ " + "x".repeat(NEARLY_A_MEBIBYTE));
            crowd.send(text, 140_000, 70_000, LOAD_TIME);
            for (int round = 0; round < 20; round++) {
                crowd.send(bytes("x"), 10, 1, Duration.ofMillis(500));
            }
            checkProcess();
        }
    }

    /** Guards against connections that use up the descriptors. */
    @Test
    void moreSilentConnectionsThanDescriptors() throws Exception {
        try (ClientCrowd crowd = crowd(1_500)) {
            checkProcess();
        }
    }

    /** Guards against limits that a client inside them meets in calm conditions: large messages, one after another. */
    @Test
    void messagesOfLegalSizeAreServedInCalmConditions() throws Exception {
        try (LineCaller caller = new LineCaller(fleet.gateways().get(0).clientPort())) {
            caller.open("current", "key-0");
            for (int number = 0; number < 10; number++) {
                List<String> answer = caller.run("READ " + "x".repeat(NEARLY_A_MEBIBYTE));
                assertThat(answer.get(answer.size() - 2)).startsWith("COMPLETE i-");
            }
        }
        checkProcess();
    }

    private ClientCrowd crowd(int size) throws IOException, InterruptedException {
        return new ClientCrowd(fleet.gateways().get(0).clientPort()).connect(size, LOAD_TIME);
    }

    private void checkProcess() throws IOException {
        ChildProcess process = fleet.gateways().get(0).process();
        long descriptors = countDescriptors(process);
        try {
            awaitOrdinaryRequest("while the connections of the load are open");
        } finally {
            System.out.println(
                    "resident at most " + peakResidentKilobytes(process) + " kB, descriptors " + descriptors);
        }
        assertThat(process.isAlive()).isTrue();
        assertWithMessage("descriptors").that(descriptors).isAtMost(MAXIMUM_DESCRIPTORS);
        assertWithMessage("kB").that(peakResidentKilobytes(process)).isAtMost(MAXIMUM_RESIDENT_KILOBYTES);
    }

    /** Waits until an ordinary client, which connects again after each failure, has been served. */
    private void awaitOrdinaryRequest(String when) throws IOException {
        try {
            await().atMost(MAXIMUM_WAIT)
                    .pollInterval(Duration.ofMillis(50))
                    .ignoreExceptions()
                    .until(() -> {
                        try (LineCaller caller =
                                new LineCaller(fleet.gateways().get(0).clientPort())) {
                            caller.open("current", "key-1");
                            return caller.run("READ ordinary").stream()
                                    .anyMatch(line -> line.startsWith("COMPLETE i-"));
                        }
                    });
        } catch (ConditionTimeoutException exception) {
            throw new AssertionError(
                    "no ordinary request was served " + when + "; last log lines:\n" + fleet.lastLogLines(), exception);
        }
    }

    private static long countDescriptors(ChildProcess process) throws IOException {
        try (Stream<Path> descriptors = Files.list(Path.of("/proc", Long.toString(process.processId()), "fd"))) {
            return descriptors.count();
        }
    }

    private static long peakResidentKilobytes(ChildProcess process) throws IOException {
        return Files.readAllLines(Path.of("/proc", Long.toString(process.processId()), "status")).stream()
                .filter(line -> line.startsWith("VmHWM:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                .findFirst()
                .orElse(0);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
