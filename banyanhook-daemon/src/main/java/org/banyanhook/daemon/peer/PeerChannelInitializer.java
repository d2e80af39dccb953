package org.banyanhook.daemon.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.function.Supplier;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.jspecify.annotations.Nullable;

/** Initializes the pipeline of a peer connection: optional TLS, length-prefixed frames, protobuf, last handler. */
final class PeerChannelInitializer extends ChannelInitializer<Channel> {

    private static final int LENGTH_FIELD_BYTES = 4;
    private static final int IDLE_TIMEOUT_SECONDS = 300;

    private final Supplier<@Nullable SslContext> sslContext;
    private final int maximumFrameBytes;
    private final Supplier<ChannelHandler> lastHandler;

    /**
     * Creates an initializer.
     *
     * @param sslContext supplies the TLS context of each new connection, or null for plain TCP
     * @param maximumFrameBytes the largest accepted frame; a larger one closes the connection
     * @param lastHandler creates the envelope handler of each connection
     */
    PeerChannelInitializer(
            Supplier<@Nullable SslContext> sslContext, int maximumFrameBytes, Supplier<ChannelHandler> lastHandler) {
        this.sslContext = sslContext;
        this.maximumFrameBytes = maximumFrameBytes;
        this.lastHandler = lastHandler;
    }

    @Override
    protected void initChannel(Channel channel) {
        ChannelPipeline pipeline = channel.pipeline();
        SslContext context = sslContext.get();
        if (context != null) {
            pipeline.addLast(context.newHandler(channel.alloc()));
        }
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(maximumFrameBytes, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES));
        pipeline.addLast(new ProtobufDecoder(PeerEnvelope.getDefaultInstance()));
        pipeline.addLast(new ProtobufEncoder());
        pipeline.addLast(new IdleStateHandler(0, 0, IDLE_TIMEOUT_SECONDS));
        pipeline.addLast(lastHandler.get());
    }
}
