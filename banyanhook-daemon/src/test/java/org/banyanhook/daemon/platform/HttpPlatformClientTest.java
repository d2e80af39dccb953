package org.banyanhook.daemon.platform;

import static com.google.common.truth.Truth.assertThat;
import static java.util.Objects.requireNonNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.banyanhook.daemon.platform.PlatformException.Kind;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.http.UriCompliance.Violation;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks the requests that the client sends and the kind of each failure. A swap that may have taken effect must be
 * reported as unavailable and not as refused, because its caller has to read the value before a retry.
 */
class HttpPlatformClientTest {

    private static final int NO_RESPONSE_STATUS = 0;

    private final Server server = new Server();
    private volatile int responseStatus = 200;
    private volatile String responseBody = "{}";
    private volatile String receivedRequest = "";
    private HttpPlatformClient client;

    @BeforeEach
    void start() throws Exception {
        ServerConnector connector = new ServerConnector(server);
        connector.setHost("127.0.0.1");
        UriCompliance slashesInSegments = UriCompliance.DEFAULT.with("slashes", Violation.AMBIGUOUS_PATH_SEPARATOR);
        requireNonNull(connector.getConnectionFactory(HttpConnectionFactory.class))
                .getHttpConfiguration()
                .setUriCompliance(slashesInSegments);
        server.addConnector(connector);
        server.setHandler(new FixedResponseHandler());
        server.start();
        URI uri = server.getURI();
        client = HttpPlatformClient.builder("127.0.0.1:" + uri.getPort())
                .timeout(Duration.ofSeconds(5))
                .build();
        client.start();
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        server.stop();
    }

    @Test
    void readsAPresentAndAnAbsentValue() {
        responseBody = "{\"key\":\"primary/db-1\",\"value\":\"{}\",\"revision\":7}";
        assertThat(client.read("primary/db-1").join()).hasValue(new StoredValue("primary/db-1", "{}", 7));
        assertThat(receivedRequest).isEqualTo("GET /v1/values/primary%2Fdb-1 ");

        responseStatus = 404;
        assertThat(client.read("primary/db-1").join()).isEqualTo(Optional.empty());
    }

    @Test
    void watchReturnsEmptyWhenTheWaitEnds() {
        responseStatus = 304;
        assertThat(client.watch("configuration", 3, Duration.ofMillis(50)).join())
                .isEqualTo(Optional.empty());
        assertThat(receivedRequest).isEqualTo("GET /v1/values/configuration/watch?afterRevision=3&waitMillis=50 ");
    }

    @Test
    void listsVirtualMachines() {
        responseBody = "{\"virtualMachines\":[{\"name\":\"e1\",\"kind\":\"entry\",\"failureDomain\":\"a\","
                + "\"address\":\"127.0.0.1:1\",\"state\":\"live\",\"added\":\"later\"}]}";
        assertThat(client.virtualMachines().join())
                .isEqualTo(List.of(new VirtualMachine("e1", "entry", "a", "127.0.0.1:1", "live")));
    }

    @Test
    void compareAndSwapReturnsTheNewRevision() {
        responseBody = "{\"revision\":9}";
        assertThat(client.compareAndSwap("configuration", "x", 8).join()).isEqualTo(9);
        assertThat(receivedRequest).isEqualTo("PUT /v1/values/configuration {\"value\":\"x\",\"expectedRevision\":8}");
    }

    @ParameterizedTest(name = "{0} {1} -> {2}")
    @CsvSource({
        "409, {}, CONFLICT",
        "400, {}, REFUSED",
        "413, {}, REFUSED",
        "500, {}, UNAVAILABLE",
        "503, {}, UNAVAILABLE",
        "200, not json, UNAVAILABLE",
        "0, {}, UNAVAILABLE",
    })
    void reportsTheKindOfAFailedSwap(int givenStatus, String givenAnswer, Kind kind) {
        responseStatus = givenStatus;
        responseBody = givenAnswer;
        assertThat(kindOf(client.compareAndSwap("configuration", "x", 8))).isEqualTo(kind);
    }

    @Test
    void reportsAStoppedServiceAsUnavailable() throws Exception {
        server.stop();
        assertThat(kindOf(client.read("configuration"))).isEqualTo(Kind.UNAVAILABLE);
    }

    private static Kind kindOf(CompletableFuture<?> call) {
        CompletionException exception = assertThrows(CompletionException.class, call::join);
        return requireNonNull((PlatformException) exception.getCause()).kind();
    }

    private final class FixedResponseHandler extends Handler.Abstract {
        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            receivedRequest = request.getMethod() + " " + request.getHttpURI().getPathQuery() + " "
                    + Content.Source.asString(request);
            if (responseStatus == NO_RESPONSE_STATUS) {
                return true;
            }
            response.setStatus(responseStatus);
            boolean hasBody = responseStatus != 304;
            Content.Sink.write(response, true, hasBody ? responseBody : "", callback);
            return true;
        }
    }
}
