package org.banyanhook.testbed.faultproxy;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class FaultProxyTest {

    private static final int SILENCE_MILLIS = 150;
    private static final int TIMEOUT_MILLIS = 5_000;

    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final ServerSocket echo = listen();
    private FaultProxy proxy =
            FaultProxy.builder("127.0.0.1:" + echo.getLocalPort()).start();

    @BeforeEach
    void serve() {
        threads.execute(() -> {
            while (!echo.isClosed()) {
                accept();
            }
        });
    }

    @AfterEach
    void close() throws IOException {
        proxy.close();
        echo.close();
        threads.shutdownNow();
    }

    @Test
    void passesBytesBothWaysAndDelaysThem() throws IOException {
        proxy.faults().delay(20_000, 5_000);
        try (Socket socket = connect()) {
            long began = System.nanoTime();
            assertThat(ask(socket, "hello")).isEqualTo("hello");
            assertThat(System.nanoTime() - began).isAtLeast(40_000_000L);
        }
    }

    @Test
    void cutClosesOpenConnectionsAndRefusesNewOnes() throws IOException {
        try (Socket socket = connect()) {
            assertThat(ask(socket, "hello")).isEqualTo("hello");
            proxy.cut();
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
            assertThrows(IOException.class, this::askAnew);
        }
        proxy.faults().heal();
        assertThat(askAnew()).isEqualTo("anew");
    }

    @Test
    void oneWayCutSilencesTheConnectionForGood() throws IOException {
        try (Socket socket = connect()) {
            assertThat(ask(socket, "one")).isEqualTo("one");
            proxy.faults().dropAnswers(true);
            assertSilent(socket);
            proxy.faults().heal();
            assertSilent(socket);
            assertThat(askAnew()).isEqualTo("anew");
        }
    }

    @Test
    void openConnectionsGoSilentWhileNewOnesWork() throws IOException {
        try (Socket socket = connect()) {
            assertThat(ask(socket, "one")).isEqualTo("one");
            proxy.silenceOpenConnections();
            assertSilent(socket);
            assertThat(askAnew()).isEqualTo("anew");
        }
    }

    @Test
    void frozenLinkDeliversOnceThawed() throws IOException {
        try (Socket socket = connect()) {
            proxy.faults().freeze(true);
            assertSilent(socket);
            proxy.faults().freeze(false);
            assertThat(read(socket, 4)).isEqualTo("lost");
        }
    }

    @Test
    void truncatedAnswerEndsTheConnection() throws IOException {
        proxy.faults().truncateNextAnswers(1, 3);
        try (Socket socket = connect()) {
            assertThat(ask(socket, "hello")).isEqualTo("hel");
            assertThat(askAnew()).isEqualTo("anew");
        }
    }

    @Test
    void lateAnswerArrivesLate() throws IOException {
        proxy.faults().delayNextAnswers(1, 100);
        try (Socket socket = connect()) {
            long began = System.nanoTime();
            assertThat(ask(socket, "hello")).isEqualTo("hello");
            assertThat(System.nanoTime() - began).isAtLeast(100_000_000L);
        }
    }

    @Test
    void crossedAnswersReachTheOtherConnection() throws IOException {
        proxy.faults().crossNextAnswers(1);
        try (Socket one = connect();
                Socket two = connect()) {
            send(one, "first");
            send(two, "other");
            assertThat(read(one, 5)).isEqualTo("other");
            assertThat(read(two, 5)).isEqualTo("first");
        }
    }

    private void accept() {
        try {
            Socket socket = echo.accept();
            threads.execute(() -> echo(socket));
        } catch (IOException exception) {
            assertThat(echo.isClosed()).isTrue();
        }
    }

    private static void echo(Socket socket) {
        try (socket) {
            byte[] buffer = new byte[100];
            int length = socket.getInputStream().read(buffer);
            while (length >= 0) {
                socket.getOutputStream().write(buffer, 0, length);
                length = socket.getInputStream().read(buffer);
            }
        } catch (IOException exception) {
            assertThat(socket.isClosed()).isTrue();
        }
    }

    private static ServerSocket listen() {
        try {
            return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private Socket connect() throws IOException {
        HostAndPort address = HostAndPort.fromString(proxy.address());
        Socket socket = new Socket(address.getHost(), address.getPort());
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    private String askAnew() throws IOException {
        try (Socket socket = connect()) {
            String answer = ask(socket, "anew");
            if (answer.isEmpty()) {
                throw new IOException("closed without an answer");
            }
            return answer;
        }
    }

    private static String ask(Socket socket, String text) throws IOException {
        send(socket, text);
        return read(socket, text.length());
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String read(Socket socket, int length) throws IOException {
        InputStream input = socket.getInputStream();
        return new String(input.readNBytes(length), StandardCharsets.UTF_8);
    }

    private static void assertSilent(Socket socket) throws IOException {
        socket.setSoTimeout(SILENCE_MILLIS);
        send(socket, "lost");
        assertThrows(SocketTimeoutException.class, () -> socket.getInputStream().read());
        socket.setSoTimeout(TIMEOUT_MILLIS);
    }
}
