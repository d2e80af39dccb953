package org.banyanhook.testbed.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.banyanhook.testbed.http.JsonAnswer;
import org.banyanhook.testbed.http.JsonClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The contract of the platform's service, run against its stand-in. */
final class PlatformContractTest {

    private final PlatformStandIn standIn = PlatformStandIn.builder().start();
    private final JsonClient client = new JsonClient();

    @AfterEach
    void close() {
        client.close();
        standIn.close();
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
            GET    | /v1/values/absent                                      |                                      | 404
            PUT    | /v1/values/new                                         | {"value":"v","expectedRevision":0}   | 200
            PUT    | /v1/values/new                                         | {"value":"v","expectedRevision":7}   | 409
            PUT    | /v1/values/primary%2Fdb-1                              | {"value":"v","expectedRevision":1}   | 200
            GET    | /v1/values/primary%2Fdb-1                              |                                      | 200
            PUT    | /v1/values/primary%2Fdb-1                              | {"value":"v","expectedRevision":0}   | 409
            PUT    | /v1/values/new                                         | {"value":"v","unknown":0}            | 400
            PUT    | /v1/values/new                                         | {"expectedRevision":0}               | 400
            PUT    | /v1/values/new                                         | no json                              | 400
            DELETE | /v1/values/absent?expectedRevision=1                   |                                      | 404
            DELETE | /v1/values/primary%2Fdb-1?expectedRevision=5           |                                      | 409
            DELETE | /v1/values/primary%2Fdb-1?expectedRevision=1           |                                      | 200
            GET    | /v1/values/absent/watch?afterRevision=0&waitMillis=1   |                                      | 304
            GET    | /v1/values/primary%2Fdb-1/watch?afterRevision=0&waitMillis=1 |                                | 200
            POST   | /v1/leases                                             | {"timeToLiveMillis":1000}            | 200
            POST   | /v1/leases                                             | {"timeToLiveMillis":0}               | 400
            POST   | /v1/leases/none/renewal                                |                                      | 404
            DELETE | /v1/leases/none                                        |                                      | 404
            GET    | /v1/virtual-machines                                   |                                      | 200
            GET    | /v1/elsewhere                                          |                                      | 404
            """)
    void answersAsTheInterfaceSays(String method, String path, String body, int status) {
        standIn.store("primary/db-1", "member-1");
        JsonAnswer answer = client.await(standIn.address(), method, path, body);
        assertWithMessage("%s %s %s: %s", method, path, body, answer.body())
                .that(answer.status())
                .isEqualTo(status);
    }

    @Test
    void watchIsAnsweredByAChangeAndCountsAsOneCall() {
        standIn.store("configuration", "1");
        CompletableFuture<JsonAnswer> watch = client.call(
                standIn.address(),
                "GET",
                "/v1/values/configuration/watch?afterRevision=1&waitMillis=20000",
                null,
                Map.of());
        while (!standIn.calls().containsKey("watch")) {
            Thread.onSpinWait();
        }
        standIn.store("configuration", "2");
        assertThat(watch.join().text("value")).isEqualTo("2");
        JsonAnswer calls = client.await(standIn.address(), "GET", "/stand-in/calls", null);
        assertThat(calls.body().toString()).isEqualTo("{\"watch\":1}");
    }

    @Test
    void lostAnswerTakesEffect() {
        fault("{\"loseNextAnswers\":1}");
        String body = "{\"value\":\"v\",\"expectedRevision\":0}";
        assertThrows(CompletionException.class, () -> client.await(standIn.address(), "PUT", "/v1/values/key", body));
        assertThat(standIn.stored("key")).hasValue("v");
        assertThat(client.await(standIn.address(), "PUT", "/v1/values/key", body)
                        .status())
                .isEqualTo(409);
    }

    @Test
    void outageHasNoEffectAndEnds() {
        fault("{\"outage\":true}");
        String body = "{\"value\":\"v\",\"expectedRevision\":0}";
        assertThrows(CompletionException.class, () -> client.await(standIn.address(), "PUT", "/v1/values/key", body));
        assertThat(standIn.stored("key")).isEmpty();
        fault("{\"outage\":false,\"delayMillis\":1}");
        assertThat(client.await(standIn.address(), "PUT", "/v1/values/key", body)
                        .status())
                .isEqualTo(200);
    }

    private void fault(String change) {
        assertThat(client.await(standIn.address(), "POST", "/stand-in/faults", change)
                        .status())
                .isEqualTo(200);
    }
}
