package org.banyanhook.testbed.backend;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.banyanhook.testbed.http.JsonAnswer;
import org.banyanhook.testbed.http.JsonClient;
import org.banyanhook.testbed.http.JsonClient.SingleConnection;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The contract of backend servers, run against their stand-in. */
final class BackendServerContractTest {

    private static final Duration LIMIT = Duration.ofSeconds(5);
    private static final String WRITE = "{\"answerId\":\"w\",\"term\":%d,\"statement\":\"%s\",\"write\":true}";
    private static final String READ = "{\"answerId\":\"r\",\"term\":%d,\"statement\":\"get k\",\"write\":false}";
    private static final String KEYED = "{\"answerId\":\"i\",\"term\":%d,\"statement\":\"add k 2\",\"write\":true,"
            + "\"idempotency\":{\"account\":\"a\",\"key\":\"secret\"}}";

    private final JsonClient client = new JsonClient();
    private final BackendServerStandIn first = member("one");
    private final BackendServerStandIn second = member("two");

    private static BackendServerStandIn member(String name) {
        return BackendServerStandIn.builder("db", name).connectionLimit(2).start();
    }

    @AfterEach
    void close() {
        client.close();
        first.close();
        second.close();
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
            GET  | /status                  |                                                          | 200 |
            POST | /statements              | {"answerId":"x","term":1,"statement":"add k 2","write":true} | 200 |
            POST | /statements              | {"answerId":"x","term":1,"statement":"get k"}            | 200 |
            POST | /statements              | {"answerId":"x","term":2,"statement":"get k"}            | 409 | wrong-term
            POST | /statements              | {"answerId":"x","term":0,"statement":"get k"}            | 409 | wrong-term
            POST | /statements              | {"answerId":"x","term":1,"statement":"put k v"}          | 422 | statement-rejected
            POST | /statements              | {"answerId":"x","term":1,"statement":"drop k"}           | 422 | statement-rejected
            POST | /statements              | {"answerId":"x","term":1,"statement":"add k v","write":true} | 422 | statement-rejected
            POST | /statements              | {"answerId":"x","term":1,"other":"get k"}                | 400 | malformed-request
            POST | /transactions            | {"answerId":"x","term":1}                                | 200 |
            POST | /transactions/statements | {"answerId":"x","statement":"get k"}                     | 409 | no-transaction
            POST | /transactions/commit     | {"answerId":"x","term":1}                                | 409 | no-transaction
            POST | /transactions/rollback   | {"answerId":"x"}                                         | 409 | no-transaction
            GET  | /outcomes?account=a&key=k&term=1 |                                                  | 200 |
            GET  | /outcomes?account=a&key=k&term=2 |                                                  | 409 | wrong-term
            POST | /fence                   | {"term":1}                                               | 409 | stale-term
            POST | /fence                   | {"term":2}                                               | 200 |
            POST | /promote                 | {"term":1}                                               | 200 |
            POST | /promote                 | {"term":2}                                               | 409 | not-fenced
            POST | /follow                  | {"term":0,"primaryMember":"two","primaryAddress":"127.0.0.1:1"} | 409 | stale-term
            POST | /follow                  | {"term":2,"primaryMember":"two","primaryAddress":"127.0.0.1:1"} | 200 |
            GET  | /log?afterTerm=0&afterPosition=0&term=1&limit=5 |                                   | 200 |
            GET  | /log?afterTerm=0&afterPosition=0&term=2&limit=5 |                                   | 409 | wrong-term
            POST | /elsewhere               | {}                                                       | 404 | unknown-call
            """)
    void primaryAnswersAsTheInterfaceSays(String method, String path, String body, int status, String error) {
        lead(first, 1);
        JsonAnswer answer = client.await(first.address(), method, path, body);
        assertWithMessage("%s %s %s: %s", method, path, body, answer.body())
                .that(answer.status())
                .isEqualTo(status);
        assertThat(answer.text("error")).isEqualTo(error == null ? "" : error);
        if (status == 200 && body != null && body.contains("answerId")) {
            assertThat(answer.text("answerId")).isEqualTo("x");
            assertThat(answer.number("lastTerm")).isEqualTo(1);
        }
    }

    @Test
    void replicaFollowsAndIsRewoundToTheNewPrimary() {
        lead(first, 1);
        follow(second, 1, first, "one");
        assertThat(write(first, 1, "put k kept")).isEqualTo(200);
        awaitValue(second, 1, "kept");
        second.changeFaults(BackendFaults.Change.replicationLagMillis(60_000));
        assertThat(write(first, 1, "put k lost")).isEqualTo(200);
        lead(second, 2);
        assertThat(write(second, 2, "put l new")).isEqualTo(200);
        assertThat(write(first, 2, "put k x")).isEqualTo(409);
        follow(first, 2, second, "two");
        awaitValue(first, 2, "kept");
        assertThat(post(first, "/statements", READ, 1).text("error")).isEqualTo("wrong-term");
        assertThat(status(first).body().path("position").asLong())
                .isEqualTo(status(second).body().path("position").asLong());
    }

    @Test
    void transactionEndsWithItsConnection() {
        lead(first, 1);
        SingleConnection connection = client.connect(first.address());
        assertThat(connection
                        .await("POST", "/transactions", "{\"answerId\":\"b\",\"term\":1}")
                        .status())
                .isEqualTo(200);
        assertThat(connection
                        .await("POST", "/transactions", "{\"answerId\":\"b\",\"term\":1}")
                        .text("error"))
                .isEqualTo("transaction-open");
        String statement = "{\"answerId\":\"s\",\"statement\":\"put k v\",\"write\":true}";
        assertThat(connection
                        .await("POST", "/transactions/statements", statement)
                        .text("result"))
                .isEqualTo("v");
        assertThat(post(first, "/statements", READ, 1).text("result")).isEmpty();
        connection.close();
        await().atMost(LIMIT).until(() -> status(first).number("activeConnections") == 1);
        assertThat(post(first, "/statements", READ, 1).text("result")).isEmpty();
        try (SingleConnection other = client.connect(first.address())) {
            other.await("POST", "/transactions", "{\"answerId\":\"b\",\"term\":1}");
            other.await("POST", "/transactions/statements", statement);
            assertThat(other.await("POST", "/transactions/commit", "{\"answerId\":\"c\",\"term\":1}")
                            .status())
                    .isEqualTo(200);
        }
        assertThat(post(first, "/statements", READ, 1).text("result")).isEqualTo("v");
    }

    @Test
    void connectionsOverTheLimitAreRefusedButStatusIsServed() {
        lead(first, 1);
        try (SingleConnection one = client.connect(first.address());
                SingleConnection two = client.connect(first.address())) {
            one.await("POST", "/statements", READ.formatted(1));
            two.await("POST", "/statements", READ.formatted(1));
            JsonAnswer refused = post(first, "/statements", READ, 1);
            assertThat(refused.status()).isEqualTo(503);
            assertThat(refused.text("error")).isEqualTo("too-many-connections");
            assertThat(status(first).number("activeConnections")).isEqualTo(2);
        }
    }

    @Test
    void repeatedKeyIsReplayedAndItsRequestIsSeen() {
        lead(first, 1);
        assertThat(post(first, "/statements", KEYED, 1).body().path("replayed").asBoolean())
                .isFalse();
        JsonAnswer repeat = post(first, "/statements", KEYED, 1);
        assertThat(repeat.body().path("replayed").asBoolean()).isTrue();
        assertThat(repeat.text("result")).isEqualTo("2");
        JsonAnswer outcome = client.await(first.address(), "GET", "/outcomes?account=a&key=secret&term=1", null);
        assertThat(outcome.text("result")).isEqualTo("2");
        assertThat(outcome.body().path("found").asBoolean()).isTrue();
        assertThat(String.join("\n", first.received())).contains("secret");
        JsonAnswer log = client.await(first.address(), "GET", "/stand-in/log", null);
        assertThat(log.body().get(1).path("idempotencyKey").asText()).isEqualTo("secret");
    }

    @Test
    void frozenMemberAnswersOnceThawedAndAnIsolatedOneNever() {
        lead(first, 1);
        first.changeFaults(BackendFaults.Change.frozen(true));
        CompletableFuture<JsonAnswer> pending =
                client.call(first.address(), "POST", "/statements", WRITE.formatted(1, "put k v"), Map.of());
        assertThat(client.await(first.address(), "GET", "/stand-in/status", null)
                        .number("position"))
                .isEqualTo(1);
        first.changeFaults(BackendFaults.Change.frozen(false));
        assertThat(pending.join().text("result")).isEqualTo("v");
        first.changeFaults(BackendFaults.Change.isolated(true));
        assertThrows(CompletionException.class, () -> write(first, 1, "put k v"));
        first.changeFaults(BackendFaults.Change.isolated(false));
        assertThat(write(first, 1, "put k v")).isEqualTo(200);
    }

    private void lead(BackendServerStandIn member, int term) {
        assertThat(post(member, "/fence", "{\"term\":%d}", term).text("role")).isEqualTo("fenced");
        assertThat(post(member, "/promote", "{\"term\":%d}", term).text("role")).isEqualTo("primary");
    }

    private void follow(BackendServerStandIn member, int term, BackendServerStandIn primary, String name) {
        String body =
                "{\"term\":%d,\"primaryMember\":\"" + name + "\",\"primaryAddress\":\"" + primary.address() + "\"}";
        assertThat(post(member, "/follow", body, term).text("role")).isEqualTo("replica");
    }

    private int write(BackendServerStandIn member, int term, String statement) {
        return client.await(member.address(), "POST", "/statements", WRITE.formatted(term, statement))
                .status();
    }

    private JsonAnswer status(BackendServerStandIn member) {
        return client.await(member.address(), "GET", "/status", null);
    }

    private JsonAnswer post(BackendServerStandIn member, String path, String body, int term) {
        return client.await(member.address(), "POST", path, body.formatted(term));
    }

    private void awaitValue(BackendServerStandIn member, int term, String value) {
        await().atMost(LIMIT)
                .until(() ->
                        post(member, "/statements", READ, term).text("result").equals(value));
    }
}
