package org.banyanhook.gateway.operation;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

final class HttpEndpointTest {

    private final EmbeddedChannel channel = new EmbeddedChannel(new HttpEndpoint(Map.of(
            "/explain",
            parameters -> parameters.getOrDefault("account", List.of()).equals(List.of("a b"))
                    ? new HttpEndpoint.Response(true, "explained")
                    : HttpEndpoint.Response.badRequest("no account"))));

    /** Parameters that were lost or not decoded would be explained as other names. */
    @Test
    void passesDecodedParametersAndTheStatus() {
        assertThat(status("/explain?account=a+b&kind=read")).isEqualTo(HttpResponseStatus.OK);
        assertThat(status("/explain")).isEqualTo(HttpResponseStatus.BAD_REQUEST);
        assertThat(status("/other?account=a+b")).isEqualTo(HttpResponseStatus.NOT_FOUND);
    }

    private HttpResponseStatus status(String uri) {
        channel.writeInbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri));
        FullHttpResponse response = channel.readOutbound();
        HttpResponseStatus status = response.status();
        response.release();
        return status;
    }

    private static final String REQUEST = "GET /ready HTTP/1.1\r\nHost: vm\r\n\r\n";

    private final HttpEndpoint endpoint =
            new HttpEndpoint(Map.of("/ready", parameters -> new HttpEndpoint.Response(true, "ready")));

    /** Guards against a header that is accumulated without a bound. */
    @Test
    void aHeaderOverTheLimitEndsTheConnection() {
        EmbeddedChannel connection = new EmbeddedChannel(endpoint.initializer());
        send(connection, "GET /ready HTTP/1.1\r\nX: " + "x".repeat(10_000));
        assertThat(connection.isActive()).isFalse();
    }

    /** Guards against connections that take the descriptors, and against a bound that closed ones still count for. */
    @Test
    void theNumberOfConnectionsIsBounded() {
        List<EmbeddedChannel> connections = new ArrayList<>();
        for (int number = 0; number < 65; number++) {
            connections.add(new EmbeddedChannel(endpoint.initializer()));
        }
        assertThat(connections.get(64).isActive()).isFalse();
        connections.get(0).close();
        EmbeddedChannel next = new EmbeddedChannel(endpoint.initializer());
        send(next, REQUEST);
        ByteBuf response = next.readOutbound();
        assertThat(response.toString(StandardCharsets.US_ASCII)).startsWith("HTTP/1.1 200");
        response.release();
    }

    private static void send(EmbeddedChannel connection, String text) {
        connection.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }
}
