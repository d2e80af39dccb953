package org.banyanhook.daemon.caller;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.security.GeneralSecurityException;
import java.time.Duration;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.daemon.duty.TaskLoop;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/** The TLS certificate that is presented to callers, reloaded when its files are replaced. */
final class ServerCertificate implements AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(ServerCertificate.class);
    private static final Duration CHECK_INTERVAL = Duration.ofSeconds(1);

    private final Path certificateChain;
    private final Path privateKey;
    private final SslContextFactory.Server sslContextFactory = new SslContextFactory.Server();
    private final TaskLoop taskLoop;
    private FileTime chainModifiedTime;
    private FileTime keyModifiedTime;

    /**
     * Reads the files and starts to check them for changes.
     *
     * @param certificateChain a PEM file with the certificate of the server first
     * @param privateKey a PEM file with the private key in PKCS #8
     * @throws IOException if a file cannot be read
     * @throws GeneralSecurityException if a file does not contain a valid certificate or key
     */
    ServerCertificate(Path certificateChain, Path privateKey) throws IOException, GeneralSecurityException {
        this.certificateChain = requireNonNull(certificateChain, "certificateChain");
        this.privateKey = requireNonNull(privateKey, "privateKey");
        this.chainModifiedTime = Files.getLastModifiedTime(certificateChain);
        this.keyModifiedTime = Files.getLastModifiedTime(privateKey);
        sslContextFactory.setKeyStore(PemKeyStoreReader.read(certificateChain, privateKey));
        sslContextFactory.setKeyStorePassword(PemKeyStoreReader.PASSWORD);
        sslContextFactory.setSniRequired(false);
        this.taskLoop = TaskLoop.builder("caller-certificate")
                .tick(CHECK_INTERVAL, this::reloadIfReplaced)
                .start();
    }

    SslContextFactory.Server sslContextFactory() {
        return sslContextFactory;
    }

    @Override
    public void close() {
        taskLoop.close();
    }

    private void reloadIfReplaced() {
        try {
            FileTime newChainModifiedTime = Files.getLastModifiedTime(certificateChain);
            FileTime newKeyModifiedTime = Files.getLastModifiedTime(privateKey);
            if (newChainModifiedTime.equals(chainModifiedTime) && newKeyModifiedTime.equals(keyModifiedTime)) {
                return;
            }
            var store = PemKeyStoreReader.read(certificateChain, privateKey);
            sslContextFactory.reload(reloaded -> reloaded.setKeyStore(store));
            chainModifiedTime = newChainModifiedTime;
            keyModifiedTime = newKeyModifiedTime;
            LOGGER.info("reloaded the replaced certificate {}", certificateChain);
        } catch (Exception exception) {
            LOGGER.warn(
                    "could not reload the certificate {}; the previous one stays in use", certificateChain, exception);
        }
    }
}
