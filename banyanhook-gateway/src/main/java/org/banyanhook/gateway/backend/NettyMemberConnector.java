package org.banyanhook.gateway.backend;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.banyanhook.gateway.operation.NettyBootstraps;
import org.banyanhook.gateway.port.SessionCodec;

/** Establishes TCP connections to members. */
public final class NettyMemberConnector implements MemberConnector {

    private final EventLoopGroup eventLoops;
    private final SessionCodec codec;

    /**
     * Creates a connector.
     *
     * @param eventLoops the event loops of the connections
     * @param codec encodes commands and decodes answers
     */
    public NettyMemberConnector(EventLoopGroup eventLoops, SessionCodec codec) {
        this.eventLoops = eventLoops;
        this.codec = codec;
    }

    @Override
    public void connect(
            InetSocketAddress address, int timeoutMillis, ChannelHandler handler, Consumer<String> onFailure) {
        NettyBootstraps.clientBootstrap(eventLoops, timeoutMillis)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel connected) {
                        connected.pipeline().addLast(codec.newMemberCodec(), handler);
                    }
                })
                .connect(address)
                .addListener(done -> {
                    if (!done.isSuccess()) {
                        onFailure.accept("connection failed: " + done.cause().getMessage());
                    }
                });
    }
}
