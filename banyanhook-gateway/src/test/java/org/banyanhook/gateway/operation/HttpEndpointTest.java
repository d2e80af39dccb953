package org.banyanhook.gateway.operation;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
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
}
