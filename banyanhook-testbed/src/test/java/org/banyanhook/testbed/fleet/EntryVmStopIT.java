package org.banyanhook.testbed.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.net.HostAndPort;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.banyanhook.testbed.platform.PlatformStandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A daemon that is asked to stop as soon as it accepts connections. */
final class EntryVmStopIT {

    private static final int ROUNDS = 2;
    private static final int START_TIMEOUT_MILLIS = 30_000;
    private static final int ANSWER_TIMEOUT_MILLIS = 10_000;
    private static final String REQUEST =
            "POST /v1/services/any/statements HTTP/1.1\r\nHost: vm\r\n" + "Content-Length: 2\r\n\r\n{}";

    @TempDir
    private Path directory;

    @Test
    void callerWhoConnectedBeforeTheSignalIsAnswered() throws IOException, InterruptedException {
        try (PlatformStandIn platform = PlatformStandIn.builder().start()) {
            for (int round = 0; round < ROUNDS; round++) {
                List<String> addresses = FreePorts.addresses(3);
                EntryVmProcess entryVm = EntryVmProcess.start(
                        new EntryVmProcess.Placement(
                                "vm-" + round,
                                new FleetScenario.Domain("east", "e"),
                                addresses.get(0),
                                addresses.get(1),
                                addresses.get(2)),
                        platform.address(),
                        List.of(),
                        directory);
                try (Socket caller = connect(entryVm)) {
                    entryVm.process().terminate();
                    assertWithMessage(
                                    "round %s: %s",
                                    round, Files.readString(entryVm.process().output()))
                            .that(answerTo(caller))
                            .startsWith("HTTP/1.1 ");
                } finally {
                    entryVm.process().close();
                }
                assertThat(entryVm.process().isAlive()).isFalse();
                assertThat(Files.readString(entryVm.process().output())).contains("BanyanhookDaemon: stopped");
            }
        }
    }

    private static Socket connect(EntryVmProcess entryVm) throws IOException, InterruptedException {
        HostAndPort address = HostAndPort.fromString(entryVm.callers());
        long deadline = System.currentTimeMillis() + START_TIMEOUT_MILLIS;
        while (System.currentTimeMillis() < deadline) {
            try {
                return new Socket(address.getHost(), address.getPort());
            } catch (ConnectException exception) {
                Thread.sleep(1);
            }
        }
        throw new IOException(
                "the daemon did not listen; see " + entryVm.process().output());
    }

    /** Returns the status line, or what was seen instead. */
    private static String answerTo(Socket caller) {
        try {
            Thread.sleep(200);
            caller.setSoTimeout(ANSWER_TIMEOUT_MILLIS);
            caller.getOutputStream().write(REQUEST.getBytes(StandardCharsets.UTF_8));
            BufferedReader input =
                    new BufferedReader(new InputStreamReader(caller.getInputStream(), StandardCharsets.UTF_8));
            return String.valueOf(input.readLine());
        } catch (IOException | InterruptedException exception) {
            return exception.toString();
        }
    }
}
