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

final class PeerCertificatesTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final PeerEnvelope ACKNOWLEDGEMENT = PeerEnvelope.newBuilder()
            .setAcknowledgement(Acknowledgement.getDefaultInstance())
            .build();
    private static final PeerEnvelope REQUEST = PeerEnvelope.newBuilder()
            .setConfigurationRequest(ConfigurationRequest.newBuilder().setKnownVersion(7))
            .build();

    @Test
    void peersThatTrustEachOtherTalk() throws Exception {
        assertThat(ask(certificates("first", "first"), certificates("first", "first"))
                        .hasAcknowledgement())
                .isTrue();
    }

    @Test
    void peerWithAnUntrustedCertificateIsRefused() {
        ExecutionException refused = assertThrows(
                ExecutionException.class, () -> ask(certificates("second", "first"), certificates("first", "first")));
        assertThat(refused).hasCauseThat().isInstanceOf(PeerException.class);
    }

    @Test
    void serverWithAnUntrustedCertificateIsNotAsked() {
        ExecutionException refused = assertThrows(
                ExecutionException.class, () -> ask(certificates("first", "first"), certificates("second", "first")));
        assertThat(refused).hasCauseThat().isInstanceOf(PeerException.class);
    }

    @Test
    void peerWithoutTlsIsRefused() {
        ExecutionException refused =
                assertThrows(ExecutionException.class, () -> ask(null, certificates("first", "first")));
        assertThat(refused).hasCauseThat().isInstanceOf(PeerException.class);
    }

    @Test
    void fileWithoutAKeyIsRefusedWithARemedy() {
        IOException refused = assertThrows(
                IOException.class,
                () -> new PeerCertificates(file("first-chain"), file("first-chain"), file("first-chain")));
        assertThat(refused).hasMessageThat().contains("write PEM files");
    }

    private static PeerEnvelope ask(@Nullable PeerCertificates client, PeerCertificates server) throws Exception {
        try (NettyPeerMessenger asking = messenger("asking", client);
                NettyPeerMessenger answering = messenger("answering", server)) {
            answering.registerHandler(
                    PeerEnvelope.BodyCase.CONFIGURATION_REQUEST,
                    message -> CompletableFuture.completedFuture(ACKNOWLEDGEMENT));
            InetSocketAddress address = answering.start();
            return asking.request("127.0.0.1:" + address.getPort(), REQUEST, TIMEOUT)
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
