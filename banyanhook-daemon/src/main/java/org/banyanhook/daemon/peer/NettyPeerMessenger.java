package org.banyanhook.daemon.peer;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.net.HostAndPort;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.jspecify.annotations.Nullable;

/**
 * A peer messenger over Netty: sends length-prefixed protobuf envelopes on one connection to each peer, optionally with
 * TLS.
 *
 * <p>Thread-safe.
 */
public final class NettyPeerMessenger implements PeerMessenger, AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(NettyPeerMessenger.class);
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 2_000;
    private static final int MAXIMUM_CONCURRENT_REQUESTS_PER_CONNECTION = 1_024;

    private final String entryVm;
    private final String failureDomain;
    private final int maximumFrameBytes;
    private final int maximumOutstandingRequests;
    private final Map<PeerEnvelope.BodyCase, PeerMessageHandler> handlers = new ConcurrentHashMap<>();
    private final Map<String, PeerLink> links = new ConcurrentHashMap<>();
    private final AtomicLong lastCorrelationId = new AtomicLong();
    private final EventLoopGroup eventLoops;
    private final boolean ownsEventLoops;
    private final Bootstrap clientBootstrap;
    private final ServerBootstrap serverBootstrap;
    private final InetSocketAddress listenAddress;
    private final Counter failedRequests;
    private @Nullable Channel serverChannel;

    private NettyPeerMessenger(Builder builder) {
        this.entryVm = builder.entryVm;
        this.failureDomain = builder.failureDomain;
        this.maximumFrameBytes = builder.maximumFrameBytes;
        this.maximumOutstandingRequests = builder.maximumOutstandingRequests;
        this.listenAddress = builder.listenAddress;
        this.failedRequests = builder.meterRegistry.counter("banyanhook.peer.failed.requests");
        EventLoopGroup sharedEventLoops = builder.eventLoops;
        this.ownsEventLoops = sharedEventLoops == null;
        this.eventLoops = sharedEventLoops == null
                ? new MultiThreadIoEventLoopGroup(builder.threads, NioIoHandler.newFactory())
                : sharedEventLoops;
        WriteBufferWaterMark writeBufferLimits =
                new WriteBufferWaterMark(builder.writeBufferBytes / 2, builder.writeBufferBytes);
        this.clientBootstrap = new Bootstrap()
                .group(eventLoops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) builder.connectTimeout.toMillis())
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, writeBufferLimits)
                .handler(new PeerChannelInitializer(
                        builder.clientSslContext, maximumFrameBytes, PeerClientHandler::new));
        this.serverBootstrap = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, writeBufferLimits)
                .childHandler(new PeerChannelInitializer(
                        builder.serverSslContext,
                        maximumFrameBytes,
                        () -> new PeerServerHandler(
                                handlers, this::withSender, MAXIMUM_CONCURRENT_REQUESTS_PER_CONNECTION)));
    }

    /**
     * Creates a builder.
     *
     * @param entryVm the name of this entry VM
     * @param failureDomain the failure domain of this entry VM
     * @return a new builder
     */
    public static Builder builder(String entryVm, String failureDomain) {
        return new Builder(entryVm, failureDomain);
    }

    /**
     * Opens the port for peers. The handlers must be registered before.
     *
     * @return the address that the messenger listens on
     * @throws IOException if the port cannot be opened
     */
    public InetSocketAddress start() throws IOException {
        var binding = serverBootstrap.bind(listenAddress).awaitUninterruptibly();
        if (!binding.isSuccess()) {
            throw new IOException(
                    "cannot listen for peers on " + listenAddress + "; set a free peer port",
                    requireNonNull(binding.cause()));
        }
        Channel channel = binding.channel();
        serverChannel = channel;
        LOGGER.info("listening for peers on {}", channel.localAddress());
        return (InetSocketAddress) channel.localAddress();
    }

    @Override
    public CompletableFuture<PeerEnvelope> request(String peerAddress, PeerEnvelope body, Duration timeout) {
        requireNonNull(body, "body");
        checkArgument(!timeout.isNegative() && !timeout.isZero(), "timeout must be positive, was %s", timeout);
        PeerEnvelope envelope = body.toBuilder()
                .setCorrelationId(lastCorrelationId.incrementAndGet())
                .build();
        CompletableFuture<PeerEnvelope> reply = sendWithinFrameLimit(peerAddress, envelope, timeout);
        reply.whenComplete((message, failure) -> {
            if (failure != null) {
                failedRequests.increment();
            }
        });
        return reply;
    }

    @Override
    public void send(String peerAddress, PeerEnvelope body) {
        requireNonNull(body, "body");
        CompletableFuture<PeerEnvelope> unused = sendWithinFrameLimit(
                        peerAddress, body.toBuilder().setCorrelationId(0).build(), Duration.ZERO)
                .whenComplete((reply, failure) -> LOGGER.debug("could not send a one-way message", failure));
    }

    @Override
    public void registerHandler(PeerEnvelope.BodyCase kind, PeerMessageHandler handler) {
        handlers.put(requireNonNull(kind, "kind"), requireNonNull(handler, "handler"));
    }

    /** Closes the port and all connections. Outstanding requests fail. */
    @Override
    public void close() {
        Channel channel = serverChannel;
        if (channel != null) {
            channel.close().awaitUninterruptibly(SHUTDOWN_TIMEOUT_MILLIS);
        }
        links.values().forEach(PeerLink::close);
        if (!ownsEventLoops) {
            return;
        }
        eventLoops
                .shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(SHUTDOWN_TIMEOUT_MILLIS);
    }

    private CompletableFuture<PeerEnvelope> sendWithinFrameLimit(
            String peerAddress, PeerEnvelope envelope, Duration timeout) {
        PeerEnvelope complete = withSender(envelope);
        if (complete.getSerializedSize() > maximumFrameBytes) {
            return CompletableFuture.failedFuture(new PeerException(
                    "a message of " + complete.getSerializedSize() + " bytes exceeds the limit of " + maximumFrameBytes
                            + "; send a smaller one",
                    false));
        }
        try {
            return links.computeIfAbsent(peerAddress, this::newLink).send(complete, timeout);
        } catch (IllegalArgumentException | IllegalStateException | RejectedExecutionException exception) {
            return CompletableFuture.failedFuture(
                    new PeerException("cannot send to peer '" + peerAddress + "': " + exception.getMessage(), false));
        }
    }

    private PeerEnvelope withSender(PeerEnvelope envelope) {
        return envelope.toBuilder()
                .setSenderEntryVm(entryVm)
                .setSenderFailureDomain(failureDomain)
                .build();
    }

    private PeerLink newLink(String peerAddress) {
        HostAndPort parsed = HostAndPort.fromString(peerAddress);
        InetSocketAddress socketAddress = new InetSocketAddress(parsed.getHost(), parsed.getPort());
        return new PeerLink(peerAddress, socketAddress, eventLoops.next(), clientBootstrap, maximumOutstandingRequests);
    }

    /** Builds a {@link NettyPeerMessenger}. Not thread-safe. */
    public static final class Builder {
        private static final int DEFAULT_THREADS = 2;
        private static final int DEFAULT_MAXIMUM_FRAME_BYTES = 8 << 20;
        private static final int DEFAULT_WRITE_BUFFER_BYTES = 16 << 20;
        private static final int DEFAULT_MAXIMUM_OUTSTANDING_REQUESTS = 1_024;
        private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofSeconds(1);

        private final String entryVm;
        private final String failureDomain;
        private InetSocketAddress listenAddress = new InetSocketAddress("127.0.0.1", 0);
        private Supplier<@Nullable SslContext> clientSslContext = () -> null;
        private Supplier<@Nullable SslContext> serverSslContext = () -> null;
        private int threads = DEFAULT_THREADS;
        private @Nullable EventLoopGroup eventLoops;
        private int maximumFrameBytes = DEFAULT_MAXIMUM_FRAME_BYTES;
        private int writeBufferBytes = DEFAULT_WRITE_BUFFER_BYTES;
        private int maximumOutstandingRequests = DEFAULT_MAXIMUM_OUTSTANDING_REQUESTS;
        private Duration connectTimeout = DEFAULT_CONNECT_TIMEOUT;
        private MeterRegistry meterRegistry = new SimpleMeterRegistry();

        private Builder(String entryVm, String failureDomain) {
            this.entryVm = requireNonNull(entryVm, "entryVm");
            this.failureDomain = requireNonNull(failureDomain, "failureDomain");
        }

        /** Sets the address to listen on; port 0 selects a free port. */
        public Builder listenAddress(InetSocketAddress value) {
            this.listenAddress = requireNonNull(value, "listenAddress");
            return this;
        }

        /**
         * Sets the suppliers of the TLS context of each new connection, so that keys can be replaced at run time.
         *
         * @param client supplies the context of outgoing connections, or null for plain TCP
         * @param server supplies the context of incoming connections, or null for plain TCP
         * @return this builder
         */
        public Builder sslContexts(Supplier<@Nullable SslContext> client, Supplier<@Nullable SslContext> server) {
            this.clientSslContext = requireNonNull(client, "client");
            this.serverSslContext = requireNonNull(server, "server");
            return this;
        }

        /** Sets the number of network threads. */
        public Builder threads(int value) {
            checkArgument(value > 0, "threads must be positive, was %s", value);
            this.threads = value;
            return this;
        }

        /** Sets event loops to share instead of own network threads; the messenger does not shut them down. */
        public Builder eventLoops(EventLoopGroup value) {
            this.eventLoops = requireNonNull(value, "eventLoops");
            return this;
        }

        /** Sets the maximum size of a sent or received frame in bytes. */
        public Builder maximumFrameBytes(int value) {
            checkArgument(value > 0, "maximumFrameBytes must be positive, was %s", value);
            this.maximumFrameBytes = value;
            return this;
        }

        /** Sets how many bytes a connection may buffer for writing before requests on it fail. */
        public Builder writeBufferBytes(int value) {
            checkArgument(value > 1, "writeBufferBytes must be over 1, was %s", value);
            this.writeBufferBytes = value;
            return this;
        }

        /** Sets the maximum number of outstanding requests to one peer. */
        public Builder maximumOutstandingRequests(int value) {
            checkArgument(value > 0, "maximumOutstandingRequests must be positive, was %s", value);
            this.maximumOutstandingRequests = value;
            return this;
        }

        /** Sets the time-out for opening a connection. */
        public Builder connectTimeout(Duration value) {
            checkArgument(value.toMillis() > 0, "connectTimeout must be at least 1 ms, was %s", value);
            this.connectTimeout = value;
            return this;
        }

        /** Sets the registry of the metrics. */
        public Builder meterRegistry(MeterRegistry value) {
            this.meterRegistry = requireNonNull(value, "meterRegistry");
            return this;
        }

        /** Creates the messenger without starting to listen. */
        public NettyPeerMessenger build() {
            return new NettyPeerMessenger(this);
        }
    }
}
