package org.banyanhook.daemon.peer;

import static com.google.common.truth.Truth.assertThat;
import static java.util.Objects.requireNonNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.base.Strings;
import com.google.common.io.Closer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.error.Execution;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.protocol.generated.Acknowledgement;
import org.banyanhook.protocol.generated.ConfigurationRequest;
import org.banyanhook.protocol.generated.KeyWithdrawal;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.banyanhook.protocol.generated.PeerEnvelope.BodyCase;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Runs two messengers over connections on the loopback interface. */
final class NettyPeerMessengerTest {

    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(100);
    private static final int MAXIMUM_FRAME_BYTES = 4096;
    private static final PeerEnvelope ACKNOWLEDGEMENT = PeerEnvelope.newBuilder()
            .setAcknowledgement(Acknowledgement.getDefaultInstance())
            .build();
    private static final PeerEnvelope REQUEST = PeerEnvelope.newBuilder()
            .setConfigurationRequest(ConfigurationRequest.newBuilder().setKnownVersion(7))
            .build();

    private final Closer closer = Closer.create();
    private NettyPeerMessenger client;
    private NettyPeerMessenger server;

    @BeforeEach
    void createMessengers() {
        client = messenger("client");
        server = messenger("server");
        closer.register(server::close);
        closer.register(client::close);
    }

    @AfterEach
    void closeMessengers() throws Exception {
        closer.close();
    }

    @Test
    void replyContainsTheSender() throws Exception {
        server.registerHandler(
                BodyCase.CONFIGURATION_REQUEST, message -> CompletableFuture.completedFuture(ACKNOWLEDGEMENT));
        PeerEnvelope reply =
                client.request(startServer(), REQUEST, LONG_TIMEOUT).get();
        assertThat(reply.hasAcknowledgement()).isTrue();
        assertThat(reply.getSenderEntryVm()).isEqualTo("server");
    }

    // Guards against repeating a request that the peer may have run: it must not be reported as not sent.
    @Test
    void requestWithoutReplyTimesOutAsMaybeSent() throws Exception {
        server.registerHandler(BodyCase.CONFIGURATION_REQUEST, message -> new CompletableFuture<>());
        PeerException failure = peerFailure(client.request(startServer(), REQUEST, SHORT_TIMEOUT));
        assertThat(failure.maybeSent()).isTrue();
        assertThat(failure).hasMessageThat().contains("no reply within 100 ms");
    }

    // Guards against further requests on a connection that no longer delivers anything.
    @Test
    void requestAfterTimeoutUsesNewConnection() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            String address = "127.0.0.1:" + listener.getLocalPort();
            peerFailure(client.request(address, REQUEST, SHORT_TIMEOUT));
            peerFailure(client.request(address, REQUEST, SHORT_TIMEOUT));
            listener.setSoTimeout((int) LONG_TIMEOUT.toMillis());
            listener.accept().close();
            listener.accept().close();
        }
    }

    @Test
    void requestOverRefusedConnectionFailsAsNotSent() throws Exception {
        String address;
        try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = "127.0.0.1:" + unused.getLocalPort();
        }
        assertThat(peerFailure(client.request(address, REQUEST, LONG_TIMEOUT)).maybeSent())
                .isFalse();
        assertThat(peerFailure(client.request(address, REQUEST, LONG_TIMEOUT)))
                .hasMessageThat()
                .contains("not tried again yet");
    }

    // Guards against reporting a request as not sent although the peer received it before closing the connection.
    @Test
    void closedConnectionFailsOutstandingRequestAsMaybeSent() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            var reply = client.request("127.0.0.1:" + listener.getLocalPort(), REQUEST, LONG_TIMEOUT);
            var socket = listener.accept();
            assertThat(socket.getInputStream().read()).isAtLeast(0);
            socket.close();
            assertThat(peerFailure(reply).maybeSent()).isTrue();
        }
    }

    @Test
    void oversizedRequestIsNotSent() throws Exception {
        PeerException failure =
                peerFailure(client.request(startServer(), withdrawal(MAXIMUM_FRAME_BYTES), LONG_TIMEOUT));
        assertThat(failure.maybeSent()).isFalse();
        assertThat(failure).hasMessageThat().contains("limit of " + MAXIMUM_FRAME_BYTES);
    }

    @Test
    void oversizedReplyClosesConnection() throws Exception {
        NettyPeerMessenger large =
                NettyPeerMessenger.builder("large", "ulsan-a").build();
        closer.register(large::close);
        large.registerHandler(
                BodyCase.CONFIGURATION_REQUEST,
                message -> CompletableFuture.completedFuture(withdrawal(MAXIMUM_FRAME_BYTES)));
        assertThat(peerFailure(client.request(addressOf(large.start()), REQUEST, LONG_TIMEOUT))
                        .maybeSent())
                .isTrue();
    }

    // Guards against losing a detail of a refusal that is sent to another daemon.
    @Test
    void refusalRoundTripKeepsKindExecutionAndDelay() throws Exception {
        RefusalException refusal = RefusalException.builder(RefusalKind.QUEUE_FULL)
                .execution(Execution.UNKNOWN)
                .detail("queue of orders-1")
                .retryAfter(Duration.ofSeconds(3))
                .build();
        server.registerHandler(BodyCase.CONFIGURATION_REQUEST, message -> CompletableFuture.failedFuture(refusal));
        RefusalException received = refusal(client.request(startServer(), REQUEST, LONG_TIMEOUT));
        assertThat(received.kind()).isEqualTo(RefusalKind.QUEUE_FULL);
        assertThat(received.execution()).isEqualTo(Execution.UNKNOWN);
        assertThat(received.detail()).isEqualTo("queue of orders-1");
        assertThat(received.retryAfter()).hasValue(Duration.ofSeconds(3));
    }

    @Test
    void unknownBodyAndThrowingHandlerAreReportedAsFailures() throws Exception {
        server.registerHandler(BodyCase.KEY_WITHDRAWAL, message -> {
            throw new IllegalStateException("fault of the test");
        });
        String address = startServer();
        assertThat(refusal(client.request(address, REQUEST, LONG_TIMEOUT)).kind())
                .isEqualTo(RefusalKind.MALFORMED_REQUEST);
        assertThat(refusal(client.request(address, withdrawal(1), LONG_TIMEOUT)).kind())
                .isEqualTo(RefusalKind.INTERNAL_FAULT);
    }

    @Test
    void requestOverTheOutstandingLimitFailsAsNotSent() throws Exception {
        server.registerHandler(BodyCase.CONFIGURATION_REQUEST, message -> new CompletableFuture<>());
        String address = startServer();
        for (int i = 0; i < 4; i++) {
            CompletableFuture<PeerEnvelope> unused = client.request(address, REQUEST, LONG_TIMEOUT);
        }
        assertThat(peerFailure(client.request(address, REQUEST, LONG_TIMEOUT)).maybeSent())
                .isFalse();
    }

    @Test
    void oneWayMessageReachesHandler() throws Exception {
        CompletableFuture<PeerEnvelope> received = new CompletableFuture<>();
        server.registerHandler(BodyCase.KEY_WITHDRAWAL, message -> {
            received.complete(message);
            return CompletableFuture.completedFuture(ACKNOWLEDGEMENT);
        });
        client.send(startServer(), withdrawal(1));
        assertThat(received.get(LONG_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS).getSenderEntryVm())
                .isEqualTo("client");
    }

    private static NettyPeerMessenger messenger(String name) {
        return NettyPeerMessenger.builder(name, "ulsan-a")
                .maximumFrameBytes(MAXIMUM_FRAME_BYTES)
                .maximumOutstandingRequests(4)
                .threads(1)
                .build();
    }

    private String startServer() throws Exception {
        return addressOf(server.start());
    }

    private static String addressOf(InetSocketAddress address) {
        return "127.0.0.1:" + address.getPort();
    }

    private static PeerEnvelope withdrawal(int bytes) {
        return PeerEnvelope.newBuilder()
                .setKeyWithdrawal(KeyWithdrawal.newBuilder().addKeyHashes(Strings.repeat("a", bytes)))
                .build();
    }

    private static PeerException peerFailure(CompletableFuture<PeerEnvelope> reply) {
        return (PeerException) causeOfFailure(reply);
    }

    private static RefusalException refusal(CompletableFuture<PeerEnvelope> reply) {
        return (RefusalException) causeOfFailure(reply);
    }

    private static Throwable causeOfFailure(CompletableFuture<PeerEnvelope> reply) {
        return requireNonNull(assertThrows(ExecutionException.class, () -> reply.get(10, TimeUnit.SECONDS))
                .getCause());
    }
}
