package org.banyanhook.daemon.caller;

import static com.google.common.truth.Truth.assertThat;
import static java.util.Objects.requireNonNull;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.security.GeneralSecurityException;
import java.security.cert.X509Certificate;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;
import javax.net.ssl.TrustManager;
import javax.net.ssl.X509TrustManager;
import org.banyanhook.core.key.KeyRegistry;
import org.banyanhook.daemon.execution.ExecutionFixture;
import org.banyanhook.daemon.execution.OutcomeReader;
import org.banyanhook.daemon.execution.RequestGate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a server that presents an outdated certificate after its files were replaced. */
class CallerTlsTest {

    @TempDir
    private Path directory;

    private void installCertificate(String name) throws Exception {
        for (String part : new String[] {"chain", "key"}) {
            try (InputStream input =
                    requireNonNull(getClass().getResourceAsStream("/tls/" + name + "-" + part + ".pem"))) {
                Path temporary = directory.resolve("new.pem");
                Files.write(temporary, input.readAllBytes());
                Files.move(temporary, directory.resolve(part + ".pem"), StandardCopyOption.REPLACE_EXISTING);
            }
        }
    }

    @Test
    void presentsAReplacedCertificateWithoutARestart() throws Exception {
        installCertificate("first");
        try (ExecutionFixture fixture = new ExecutionFixture();
                CallerServer server = CallerServer.builder()
                        .configuration(() -> fixture.configuration)
                        .authenticator(
                                key -> KeyRegistry.of(fixture.configuration).accountOf(key))
                        .rateLimiter((account, wait) -> CompletableFuture.completedFuture(null))
                        .statements(fixture.executor)
                        .transactions(fixture.transactions)
                        .outcomes(new OutcomeReader(fixture.executor))
                        .requestGate(new RequestGate())
                        .meters(new SimpleMeterRegistry())
                        .tls(directory.resolve("chain.pem"), directory.resolve("key.pem"))
                        .build()) {
            server.start();
            assertThat(certificateSubject(server.port())).isEqualTo("CN=first");
            installCertificate("second");
            await().atMost(5, TimeUnit.SECONDS)
                    .until(() -> certificateSubject(server.port()).equals("CN=second"));
        }
    }

    @Test
    void refusesAFileWithoutAKey() throws Exception {
        installCertificate("first");
        Path chain = directory.resolve("chain.pem");
        assertThrows(GeneralSecurityException.class, () -> PemKeyStoreReader.read(chain, chain));
    }

    private static String certificateSubject(int port) throws Exception {
        CompletableFuture<String> subject = new CompletableFuture<>();
        X509TrustManager recorder = new X509TrustManager() {
            @Override
            public void checkClientTrusted(X509Certificate[] chain, String type) {}

            @Override
            public void checkServerTrusted(X509Certificate[] chain, String type) {
                subject.complete(chain[0].getSubjectX500Principal().getName());
            }

            @Override
            public X509Certificate[] getAcceptedIssuers() {
                return new X509Certificate[0];
            }
        };
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(null, new TrustManager[] {recorder}, null);
        try (Socket socket = context.getSocketFactory().createSocket("127.0.0.1", port)) {
            ((SSLSocket) socket).startHandshake();
        }
        return subject.get(5, TimeUnit.SECONDS);
    }
}
