package org.banyanhook.daemon.administration;

import static com.google.common.truth.Truth.assertThat;
import static org.awaitility.Awaitility.await;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.banyanhook.core.configuration.BackendServer;
import org.banyanhook.core.configuration.ClientAccount;
import org.banyanhook.core.configuration.Database;
import org.banyanhook.core.configuration.FailureDomain;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.configuration.GrantedKey;
import org.banyanhook.core.configuration.Route;
import org.banyanhook.core.configuration.RouteKind;
import org.banyanhook.core.configuration.Service;
import org.banyanhook.core.configuration.SessionSecret;
import org.banyanhook.core.key.KeyHashes;
import org.banyanhook.core.key.KeyPolicy;
import org.banyanhook.daemon.configuration.ConfigurationCodec;
import org.banyanhook.daemon.configuration.ConfigurationController;
import org.banyanhook.daemon.configuration.FakeFleet;
import org.banyanhook.daemon.configuration.FakePlatform;
import org.banyanhook.daemon.membership.EntryVm;
import org.banyanhook.daemon.settings.AdministrationSettings;
import org.banyanhook.daemon.settings.OperatorKey;
import org.banyanhook.daemon.settings.OperatorRole;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks the administration port over HTTP: health, metrics and version without a key, commands by role, and changes
 * while the platform is down. Key hashes and session secrets must not appear in a response.
 */
class AdministrationServerTest {

    private final FakePlatform platform = new FakePlatform();
    private final FakeFleet fleet = new FakeFleet(platform, KeyPolicy.REFUSE, 1);
    private final HttpClient client = new HttpClient();
    private final JsonMapper mapper = new JsonMapper();
    private volatile List<String> obstacles = List.of();
    private AdministrationServer server;
    private String baseUri;

    @BeforeEach
    void start() throws Exception {
        platform.store(new ConfigurationCodec().encode(configuration()).text());
        ConfigurationController controller = fleet.start("a-1", "a");
        AdministrationSettings settings = new AdministrationSettings(
                "127.0.0.1:0",
                List.of(
                        new OperatorKey("kim", KeyHashes.hash("kim's key"), OperatorRole.OPERATE),
                        new OperatorKey("lee", KeyHashes.hash("lee's key"), OperatorRole.READ)));
        CommandInterpreter interpreter = new CommandInterpreter(
                controller,
                () -> List.of(new EntryVm("a-1", "a", "127.0.0.1:1", false)),
                database -> Optional.of(new DatabaseStatus.Primary("m1", 4)),
                query -> List.of(JsonRows.newRow().put("explained", query.text())));
        server = AdministrationServer.builder(settings)
                .interpreter(interpreter)
                .readiness(() -> obstacles)
                .metrics(() -> "banyanhook_up 1\n")
                .version("1.2.3")
                .configurationVersion(() -> controller.current().version())
                .build();
        InetSocketAddress address = server.start();
        baseUri = "http://127.0.0.1:" + address.getPort();
        client.start();
        await().atMost(Duration.ofSeconds(5)).until(() -> controller.current().version() == 1);
    }

    @AfterEach
    void stop() throws Exception {
        client.stop();
        server.close();
        fleet.close();
    }

    @Test
    void servesHealthMetricsAndVersionWithoutAKey() throws Exception {
        assertThat(get("/health/live").getStatus()).isEqualTo(200);
        assertThat(get("/health/ready").getStatus()).isEqualTo(200);
        assertThat(get("/metrics").getContentAsString()).isEqualTo("banyanhook_up 1\n");
        assertThat(get("/version").getContentAsString())
                .isEqualTo("{\"version\":\"1.2.3\",\"configurationVersion\":1}");

        obstacles = List.of("no configuration");

        assertThat(get("/health/ready").getStatus()).isEqualTo(503);
        assertThat(get("/health/ready").getContentAsString()).contains("no configuration");
    }

    @ParameterizedTest(name = "{0} {1}")
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "none      | {\"command\":\"show accounts\"} | 401 | key-missing",
                "wrong key | {\"command\":\"show accounts\"} | 401 | key-unknown",
                "lee's key | {\"command\":\"show accounts\"} | 200 | \"account\":\"plant\"",
                "lee's key | {\"command\":\"show services\"} | 200 | \"service\":\"inject-db\",\"databases\":1",
                "lee's key | {\"command\":\"show routes\"} | 200 | \"kind\":\"idempotent-write\"",
                "lee's key | {\"command\":\"show databases\"} | 200 | \"believedPrimary\":true,\"term\":4",
                "lee's key | {\"command\":\"show failure-domains\"} | 200 | \"rateShare\":0.5",
                "lee's key | {\"command\":\"show entry-vms\"} | 200 | \"state\":\"live\",\"drained\":false",
                "lee's key | {\"command\":\"show configuration\"} | 200 | \"failureDomainsNotConfirmed\":[\"b\"]",
                "lee's key | {\"command\":\"show withdrawals\"} | 200 | \"rows\":[]",
                "lee's key | {\"command\":\"explain inject-db status\"} | 200 | explain inject-db status",
                "lee's key | {\"command\":\"drain entry-vm a-1\"} | 403 | operator-forbidden",
                "kim's key | {\"command\":\"drain entry-vm a-1\"} | 200 | \"version\":2",
                "kim's key | {\"command\":\"set account nobody rate=1\"} | 400 | configuration-invalid",
                "kim's key | {\"command\":\"drain entry-vm a\",\"basedOnVersion\":0} | 409 | configuration-conflict",
                "kim's key | {\"command\":\"frobnicate\"} | 400 | command-unknown",
                "kim's key | {\"command\":\"show services\",\"colour\":1} | 400 | no field 'colour'",
                "kim's key | {\"command\":7} | 400 | malformed-request",
                "kim's key | [] | 400 | malformed-request",
                "kim's key | {\"command\":\"show services\",\"basedOnVersion\":-1} | 400 | basedOnVersion",
            })
    void respondsToCommands(String key, String body, int status, String content) throws Exception {
        ContentResponse response = post(key, body);

        assertThat(response.getContentAsString()).contains(content);
        assertThat(response.getStatus()).isEqualTo(status);
        assertThat(response.getContentAsString()).doesNotContain(KeyHashes.hash("key"));
        assertThat(response.getContentAsString()).doesNotContain("c2VjcmV0");
        if (status >= 400) {
            assertThat(response.getMediaType()).isEqualTo("application/problem+json");
        }
    }

    @Test
    void withdrawsAKeyWhileThePlatformIsDown() throws Exception {
        platform.setUnavailable(true);

        ContentResponse response = post("kim's key", "{\"command\":\"withdraw key plant k1\"}");

        assertThat(response.getStatus()).isEqualTo(200);
        JsonNode row = mapper.readTree(response.getContentAsString()).at("/rows/0");
        assertThat(row.path("writtenToPlatform").asBoolean()).isFalse();
        assertThat(row.path("failureDomainsNotConfirmed").toString()).isEqualTo("[\"b\"]");
        assertThat(post("lee's key", "{\"command\":\"show withdrawals\"}").getContentAsString())
                .contains("\"account\":\"plant\",\"key\":\"k1\"");
    }

    @Test
    void reportsAChangeAsNotRunWhileThePlatformIsDown() throws Exception {
        platform.setUnavailable(true);

        ContentResponse response = post("kim's key", "{\"command\":\"drain entry-vm a-1\"}");

        assertThat(response.getStatus()).isEqualTo(503);
        assertThat(response.getContentAsString()).contains("\"execution\":\"not-run\"");
    }

    @Test
    void appliesARepeatedCommandIdOnce() throws Exception {
        String body = "{\"command\":\"drain entry-vm a-1\",\"commandId\":\"c1\"}";

        assertThat(post("kim's key", body).getContentAsString()).contains("\"version\":2");
        assertThat(post("kim's key", body).getContentAsString()).contains("\"version\":2");
    }

    @Test
    void refusesLargeBodies() throws Exception {
        assertThat(post("kim's key", "x".repeat(100_000)).getStatus()).isEqualTo(413);
    }

    private ContentResponse get(String path) throws Exception {
        return client.GET(baseUri + path);
    }

    private ContentResponse post(String key, String body) throws Exception {
        Request request =
                client.POST(baseUri + "/v1/commands").body(new StringRequestContent("application/json", body));
        if (!key.equals("none")) {
            request.headers(headers -> headers.put("Authorization", "Bearer " + key));
        }
        return request.send();
    }

    private static FleetConfiguration configuration() {
        ClientAccount account =
                new ClientAccount("plant", List.of(new GrantedKey("k1", KeyHashes.hash("key"))), 10, 5, 1);
        Database database = new Database("db-1", List.of(new BackendServer("m1", "a", "127.0.0.1:1", false)), 16, 2);
        Service service = new Service(
                "inject-db", List.of(database), List.of(new Route("write", RouteKind.IDEMPOTENT_WRITE, false, 0)));
        return new FleetConfiguration(
                1,
                List.of(new FailureDomain("a", "r", 0.5, false), new FailureDomain("b", "r", 0.5, false)),
                List.of(account),
                List.of(service),
                Set.of(),
                List.of(new SessionSecret("s1", "c2VjcmV0")),
                List.of());
    }
}
