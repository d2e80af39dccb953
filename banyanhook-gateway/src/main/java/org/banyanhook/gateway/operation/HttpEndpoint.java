package org.banyanhook.gateway.operation;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** Serves the readiness and the metrics of the daemon over HTTP. */
@Sharable
public final class HttpEndpoint extends SimpleChannelInboundHandler<HttpRequest> {

    /**
     * A response.
     *
     * @param status the status
     * @param text the body
     */
    public record Response(HttpResponseStatus status, String text) {

        /**
         * Creates a response.
         *
         * @param ready true for status 200, false for status 503
         * @param text the body
         */
        public Response(boolean ready, String text) {
            this(ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, text);
        }

        /** Creates a response to a request that is not valid. */
        public static Response badRequest(String text) {
            return new Response(HttpResponseStatus.BAD_REQUEST, text);
        }
    }

    private static final int MAXIMUM_REQUEST_LINE_BYTES = 2 << 10;
    private static final int MAXIMUM_HEADER_BYTES = 8 << 10;
    private static final int MAXIMUM_BODY_PART_BYTES = 4 << 10;

    /** Scrapers and readiness checks need a few; more would take descriptors from client sessions. */
    private static final int MAXIMUM_CONNECTIONS = 64;

    private final Map<String, Function<Map<String, List<String>>, Response>> responses;
    private int connections;

    /**
     * Creates an endpoint.
     *
     * @param responses the functions from the parameters of a request to the response, by path; other paths get status
     *     404
     */
    public HttpEndpoint(Map<String, Function<Map<String, List<String>>, Response>> responses) {
        super(HttpRequest.class);
        this.responses = Map.copyOf(responses);
    }

    /** Returns the handler that initializes the connections of a port. The number of open ones is bounded. */
    public ChannelHandler initializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                if (connections >= MAXIMUM_CONNECTIONS) {
                    channel.close();
                    return;
                }
                connections++;
                channel.closeFuture().addListener(closed -> connections--);
                channel.pipeline()
                        .addLast(
                                new HttpServerCodec(
                                        MAXIMUM_REQUEST_LINE_BYTES, MAXIMUM_HEADER_BYTES, MAXIMUM_BODY_PART_BYTES),
                                HttpEndpoint.this);
            }
        };
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpRequest request) {
        if (request.decoderResult().isFailure() || !context.channel().isWritable()) {
            // Not HTTP, a header over the limit, or a client that asks for more without reading.
            context.close();
            return;
        }
        QueryStringDecoder uri = new QueryStringDecoder(request.uri());
        Function<Map<String, List<String>>, Response> responder = responses.get(uri.path());
        HttpResponseStatus status = HttpResponseStatus.NOT_FOUND;
        String text = "";
        if (responder != null) {
            Response content = responder.apply(uri.parameters());
            status = content.status();
            text = content.text();
        }
        ByteBuf body = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        boolean keepAlive = HttpUtil.isKeepAlive(request);
        var writeFuture = context.writeAndFlush(response);
        if (!keepAlive) {
            writeFuture.addListener(ChannelFutureListener.CLOSE);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // The client disconnected or did not send HTTP; it can retry on a new connection.
        context.close();
    }
}
