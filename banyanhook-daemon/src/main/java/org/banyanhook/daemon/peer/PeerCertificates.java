package org.banyanhook.daemon.peer;

import static java.util.Objects.requireNonNull;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import javax.net.ssl.SSLException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The TLS certificates of peer connections. Both sides present a certificate and verify the other's. Replaced files
 * take effect with the next new connection.
 *
 * <p>Peers are addressed by IP address, so a certificate is verified against the trusted certificates only, not against
 * a host name. Thread-safe.
 */
public final class PeerCertificates {

    private static final Logger LOGGER = LogManager.getLogger(PeerCertificates.class);

    private final Path certificateChain;
    private final Path privateKey;
    private final Path trustedCertificates;
    private final AtomicReference<SslContexts> contexts;

    /**
     * Loads the certificates.
     *
     * @param certificateChain a PEM file that starts with this entry VM's certificate
     * @param privateKey a PEM file with the certificate's private key in PKCS #8
     * @param trustedCertificates a PEM file with the trust anchors of the peers' certificate chains
     * @throws IOException if a file cannot be read or does not have the expected content
     */
    public PeerCertificates(Path certificateChain, Path privateKey, Path trustedCertificates) throws IOException {
        this.certificateChain = requireNonNull(certificateChain, "certificateChain");
        this.privateKey = requireNonNull(privateKey, "privateKey");
        this.trustedCertificates = requireNonNull(trustedCertificates, "trustedCertificates");
        this.contexts = new AtomicReference<>(readContexts());
    }

    /** Returns the TLS context of the next outgoing connection. */
    public SslContext client() {
        return currentContexts().client();
    }

    /** Returns the TLS context of the next incoming connection. */
    public SslContext server() {
        return currentContexts().server();
    }

    private SslContexts currentContexts() {
        SslContexts loaded = requireNonNull(contexts.get());
        try {
            if (!modificationTimes().equals(loaded.modificationTimes())) {
                contexts.set(readContexts());
                LOGGER.info("reloaded the replaced certificate {} of peer connections", certificateChain);
            }
        } catch (IOException exception) {
            LOGGER.warn(
                    "could not reload the certificate {}; the previous one stays in use", certificateChain, exception);
        }
        return requireNonNull(contexts.get());
    }

    private SslContexts readContexts() throws IOException {
        List<FileTime> modificationTimes = modificationTimes();
        try {
            return new SslContexts(modificationTimes, newClientContext(), newServerContext());
        } catch (SSLException | IllegalArgumentException exception) {
            throw new IOException(
                    "the peer certificate " + certificateChain + " with its key " + privateKey
                            + " cannot be loaded; write PEM files with a chain, a PKCS #8 key and trusted certificates",
                    exception);
        }
    }

    private SslContext newClientContext() throws SSLException {
        return SslContextBuilder.forClient()
                .keyManager(certificateChain.toFile(), privateKey.toFile())
                .trustManager(trustedCertificates.toFile())
                .endpointIdentificationAlgorithm(null)
                .build();
    }

    private SslContext newServerContext() throws SSLException {
        File chain = certificateChain.toFile();
        return SslContextBuilder.forServer(chain, privateKey.toFile())
                .trustManager(trustedCertificates.toFile())
                .clientAuth(ClientAuth.REQUIRE)
                .build();
    }

    private List<FileTime> modificationTimes() throws IOException {
        return List.of(
                Files.getLastModifiedTime(certificateChain),
                Files.getLastModifiedTime(privateKey),
                Files.getLastModifiedTime(trustedCertificates));
    }

    private record SslContexts(List<FileTime> modificationTimes, SslContext client, SslContext server) {}
}
