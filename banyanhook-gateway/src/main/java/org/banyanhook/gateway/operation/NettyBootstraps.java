package org.banyanhook.gateway.operation;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import jdk.net.ExtendedSocketOptions;

/** Creates Netty bootstraps with the socket options that all connections of the daemon share. */
public final class NettyBootstraps {

    /** The kernel probes a connection that has been idle for this long, so that a broken network path is detected. */
    private static final int KEEP_ALIVE_IDLE_SECONDS = 1;

    private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;
    private static final int KEEP_ALIVE_PROBE_COUNT = 2;
    private static final int BACKLOG_CONNECTIONS = 256;
    private static final ByteBufAllocator ALLOCATOR = new UnpooledByteBufAllocator(false);

    private NettyBootstraps() {}

    /**
     * Creates a bootstrap for outgoing connections.
     *
     * @param eventLoops the event loops of the connections
     * @param connectTimeoutMillis the timeout for the establishment of a connection
     * @return the bootstrap, without a handler
     */
    public static Bootstrap clientBootstrap(EventLoopGroup eventLoops, int connectTimeoutMillis) {
        return new Bootstrap()
                .group(eventLoops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, ALLOCATOR)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBE_COUNT)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis);
    }

    /**
     * Creates a bootstrap for a listening port.
     *
     * @param eventLoops the event loops of the accepted connections
     * @param initializer the handler that initializes each connection
     * @return the bootstrap
     */
    public static ServerBootstrap serverBootstrap(EventLoopGroup eventLoops, ChannelHandler initializer) {
        return new ServerBootstrap()
                .group(eventLoops)
                .channel(ListeningChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG_CONNECTIONS)
                .childOption(ChannelOption.ALLOCATOR, ALLOCATOR)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(initializer);
    }
}
