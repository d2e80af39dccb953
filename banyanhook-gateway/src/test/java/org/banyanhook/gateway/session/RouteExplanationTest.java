package org.banyanhook.gateway.session;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;
import java.util.Map;
import org.banyanhook.gateway.GatewayFixture;
import org.banyanhook.gateway.ScriptedMember;
import org.banyanhook.gateway.operation.HttpEndpoint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the answers to operators who ask where a statement would run. */
final class RouteExplanationTest {

    private final GatewayFixture gateway = new GatewayFixture();
    private final ScriptedMember primary = gateway.list("primary", true);
    private final RouteExplanation explanation =
            new RouteExplanation(gateway.directory(), gateway.groups(), gateway.clock(), () -> 0.5);

    @AfterEach
    void close() {
        gateway.close();
    }

    /** An explanation must not use connections that members have few of. */
    @Test
    void explainsTheChoiceWithoutSendingAnything() {
        gateway.list("replica", false);
        HttpEndpoint.Response response = respond(GatewayFixture.DATABASE, "account", "write", "1:7");
        assertThat(response.status()).isEqualTo(HttpResponseStatus.OK);
        assertThat(response.text()).contains("\"choice\":\"primary\"");
        assertThat(response.text()).contains("\"exclusion\":\"is not the primary\"");
        assertThat(primary.links()).isEmpty();
    }

    /** Without a usable member the explanation has to name the reason, not to fail. */
    @Test
    void explainsThatNoMemberQualifies() {
        gateway.inContact(false);
        assertThat(respond(GatewayFixture.DATABASE, "account", "read", "").text())
                .contains("\"choice\":null");
    }

    /** A mistyped name must not be explained as if it were configured. */
    @Test
    void invalidParametersAreRefused() {
        assertRefused(respond("unknown", "account", "read", ""));
        assertRefused(respond(GatewayFixture.PRIVATE_DATABASE, "unknown", "read", ""));
        assertRefused(respond(GatewayFixture.DATABASE, "account", "delete", ""));
        assertRefused(respond(GatewayFixture.DATABASE, "account", "read", "seven"));
        assertRefused(explanation.respond(Map.of()));
    }

    private HttpEndpoint.Response respond(String database, String account, String kind, String position) {
        return explanation.respond(Map.of(
                "database", List.of(database),
                "account", List.of(account),
                "kind", List.of(kind),
                "position", List.of(position)));
    }

    private static void assertRefused(HttpEndpoint.Response response) {
        assertThat(response.status()).isEqualTo(HttpResponseStatus.BAD_REQUEST);
    }
}
