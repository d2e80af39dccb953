package org.banyanhook.daemon.peer;

import static com.google.common.truth.Truth.assertThat;
import static java.util.Objects.requireNonNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.banyanhook.protocol.generated.Acknowledgement;
import org.banyanhook.protocol.generated.ConfigurationRequest;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Guards against accepting a peer that has no certificate or one that is not trusted. */
final class PeerCertificatesTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final PeerEnvelope ACKNOWLEDGEMENT = PeerEnvelope.newBuilder()
            .setAcknowledgement(Acknowledgement.getDefaultInstance())
            .build();
    private static final PeerEnvelope REQUEST = PeerEnvelope.newBuilder()
            .setConfigurationRequest(ConfigurationRequest.newBuilder().setKnownVersion(7))
            .build();

    @Test
    void peersThatTrustEachOtherCommunicate() throws Exception {
        assertThat(sendRequest(certificates("first", "first"), certificates("first", "first"))
                        .hasAcknowledgement())
                .isTrue();
    }

    @Test
    void clientWithAnUntrustedCertificateIsRefused() {
        ExecutionException refused = assertThrows(
                ExecutionException.class,
                () -> sendRequest(certificates("second", "first"), certificates("first", "first")));
        assertThat(refused).hasCauseThat().isInstanceOf(PeerException.class);
    }

    @Test
    void serverWithAnUntrustedCertificateIsRefused() {
        ExecutionException refused = assertThrows(
                ExecutionException.class,
                () -> sendRequest(certificates("first", "first"), certificates("second", "first")));
        assertThat(refused).hasCauseThat().isInstanceOf(PeerException.class);
    }

    @Test
    void clientWithoutTlsIsRefused() {
        ExecutionException refused =
                assertThrows(ExecutionException.class, () -> sendRequest(null, certificates("first", "first")));
        assertThat(refused).hasCauseThat().isInstanceOf(PeerException.class);
    }

    @Test
    void fileWithoutAKeyIsRejectedWithARemedy() {
        IOException refused = assertThrows(
                IOException.class,
                () -> new PeerCertificates(file("first-chain"), file("first-chain"), file("first-chain")));
        assertThat(refused).hasMessageThat().contains("write PEM files");
    }

    private static PeerEnvelope sendRequest(@Nullable PeerCertificates client, PeerCertificates server)
            throws Exception {
        try (NettyPeerMessenger requester = messenger("asking", client);
                NettyPeerMessenger responder = messenger("answering", server)) {
            responder.registerHandler(
                    PeerEnvelope.BodyCase.CONFIGURATION_REQUEST,
                    message -> CompletableFuture.completedFuture(ACKNOWLEDGEMENT));
            InetSocketAddress address = responder.start();
            return requester
                    .request("127.0.0.1:" + address.getPort(), REQUEST, TIMEOUT)
                    .get();
        }
    }

    private static NettyPeerMessenger messenger(String name, @Nullable PeerCertificates certificates) {
        NettyPeerMessenger.Builder builder = NettyPeerMessenger.builder(name, "domain");
        if (certificates != null) {
            builder.sslContexts(certificates::client, certificates::server);
        }
        return builder.build();
    }

    private static PeerCertificates certificates(String own, String trusted) throws IOException {
        return new PeerCertificates(file(own + "-chain"), file(own + "-key"), file(trusted + "-chain"));
    }

    private static Path file(String name) {
        return Path.of(requireNonNull(PeerCertificatesTest.class.getResource("/tls/" + name + ".pem"))
                .getPath());
    }
}
