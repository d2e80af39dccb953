package org.banyanhook.gateway.operation;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
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

    /** The kernel drops connection requests beyond this, and a client sends one again only after a second. */
    private static final int CLIENT_BACKLOG_CONNECTIONS = 1_024;

    private static final int MINIMUM_READ_BYTES = 512;
    private static final int FIRST_READ_BYTES = 2 << 10;
    private static final int MAXIMUM_READ_BYTES = 16 << 10;

    /** Bounds what one connection is read before the others, and before the limits of clients are checked. */
    private static final int CLIENT_READS_IN_A_ROW = 4;

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

    /**
     * Creates a bootstrap for the listening port of clients, whose unread bytes are bounded.
     *
     * @param eventLoops the event loops of the accepted connections
     * @param initializer the handler that initializes each connection
     * @param receiveBufferBytes the size of the kernel's receive buffer of each connection
     * @return the bootstrap
     */
    public static ServerBootstrap clientServerBootstrap(
            EventLoopGroup eventLoops, ChannelHandler initializer, int receiveBufferBytes) {
        return serverBootstrap(eventLoops, initializer)
                // Accepted connections inherit the size; set later, it would not bound the window offered at first.
                .option(ChannelOption.SO_RCVBUF, receiveBufferBytes)
                .option(ChannelOption.SO_BACKLOG, CLIENT_BACKLOG_CONNECTIONS)
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MINIMUM_READ_BYTES, FIRST_READ_BYTES, MAXIMUM_READ_BYTES)
                                .maxMessagesPerRead(CLIENT_READS_IN_A_ROW));
    }
}
