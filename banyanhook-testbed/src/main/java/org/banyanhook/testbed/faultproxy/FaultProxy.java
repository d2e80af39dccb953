package org.banyanhook.testbed.faultproxy;

import static java.util.Objects.requireNonNull;

import com.google.common.net.HostAndPort;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

/**
 * A TCP proxy on 127.0.0.1 that plays the faults of a network in front of one server. Safe for use by several threads.
 */
public final class FaultProxy implements AutoCloseable {

    private static final String LOOPBACK = "127.0.0.1";

    private final HostAndPort target;
    private final IntFunction<LinkFaults> faultsByClientPort;
    private final Random random;
    private final AnswerCrossing crossing = new AnswerCrossing();
    private final Set<ProxiedConnection> connections = ConcurrentHashMap.newKeySet();
    private final LinkFaults faults = new LinkFaults();
    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(
            1, new DefaultThreadFactory("fault-proxy", true), NioIoHandler.newFactory());
    private final Channel listener;

    private FaultProxy(Builder builder) {
        target = builder.target;
        random = new Random(builder.seed);
        IntFunction<LinkFaults> own = port -> faults;
        faultsByClientPort = builder.faultsByClientPort.orElse(own);
        listener = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        accept(channel);
                    }
                })
                .bind(LOOPBACK, 0)
                .syncUninterruptibly()
                .channel();
    }

    /**
     * Starts the description of a proxy.
     *
     * @param targetAddress the IP number and port of the server
     * @return a new builder
     */
    public static Builder builder(String targetAddress) {
        return new Builder(HostAndPort.fromString(targetAddress));
    }

    /** Returns the IP number and port to connect to. */
    public String address() {
        return LOOPBACK + ":" + ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Returns the faults of all connections, unless the builder was given others. */
    public LinkFaults faults() {
        return faults;
    }

    /** Refuses new connections and closes the open ones, until {@link LinkFaults#heal()}. */
    public void cut() {
        faults.cut(true);
        connections.forEach(ProxiedConnection::close);
    }

    /** Closes the open connections whose faults say that they are cut. */
    public void closeCutConnections() {
        connections.stream().filter(connection -> connection.faults().isCut()).forEach(ProxiedConnection::close);
    }

    /** Makes all open connections silent for good, while new ones work. */
    public void silenceOpenConnections() {
        connections.forEach(ProxiedConnection::silence);
    }

    /** Returns how many connections are open. */
    public int openConnections() {
        return connections.size();
    }

    @Override
    public void close() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private void accept(SocketChannel client) {
        LinkFaults link = faultsByClientPort.apply(client.remoteAddress().getPort());
        if (link.isCut()) {
            client.config().setSoLinger(0);
            client.close();
            return;
        }
        ChannelFuture connecting = new Bootstrap()
                .group(client.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(target.getHost(), target.getPort());
        connecting.addListener(done -> connected(client, connecting, link));
    }

    private void connected(SocketChannel client, ChannelFuture connecting, LinkFaults link) {
        if (!connecting.isSuccess()) {
            client.close();
            return;
        }
        Channel server = connecting.channel();
        ProxiedConnection connection = new ProxiedConnection(link, crossing, random, client, server);
        connections.add(connection);
        client.closeFuture().addListener(closed -> connections.remove(connection));
        connection.start();
    }

    /** Builds a {@link FaultProxy}. Not safe for use by several threads. */
    public static final class Builder {
        private final HostAndPort target;
        private long seed = 1;
        private Optional<IntFunction<LinkFaults>> faultsByClientPort = Optional.empty();

        private Builder(HostAndPort target) {
            this.target = target;
        }

        /** Sets the seed of the jitter. */
        public Builder seed(long value) {
            this.seed = value;
            return this;
        }

        /** Sets where the faults of a connection come from, by the port that its client connects from. */
        public Builder faultsByClientPort(IntFunction<LinkFaults> value) {
            this.faultsByClientPort = Optional.of(requireNonNull(value, "faultsByClientPort"));
            return this;
        }

        /** Starts the proxy. */
        public FaultProxy start() {
            return new FaultProxy(this);
        }
    }
}
