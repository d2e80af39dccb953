package org.banyanhook.gateway.backend;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.MessageToByteEncoder;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.gateway.message.MemberAnswer;
import org.banyanhook.gateway.message.MemberCommand;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.operation.NettyBootstraps;
import org.banyanhook.gateway.port.MemberEntry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class MemberConnectionTest {

    private static final int TIMEOUT_MILLIS = 10_000;

    private final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void stop() {
        eventLoops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    /** A command that was given up, such as a write or a step-down, would still reach the member after a partition. */
    @Test
    void connectionWithAnUnansweredCommandIsReset() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            MemberConnection connection = connect(server);
            try (Socket accepted = server.accept()) {
                accepted.setSoTimeout(TIMEOUT_MILLIS);
                assertThat(accepted.getInputStream().read()).isAtLeast(0);
                eventLoops.submit(() -> connection.close("timed out")).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                assertThrows(SocketException.class, () -> readToEnd(accepted));
            }
        }
    }

    private MemberConnection connect(ServerSocket server) {
        InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
        MonotonicClock clock = MonotonicClock.ofSystem();
        MemberServer member = new MemberServer(
                new MemberEntry("a", "orders", address, "east", 2, false, true, 0, 1),
                new StoreRevision(0, 1),
                clock.nowNanos());
        MemberConnection connection = new MemberConnection(member, "account", clock, new IgnoringOwner());
        NettyBootstraps.clientBootstrap(eventLoops, TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new OneByteEncoder(), connection);
                    }
                })
                .connect(address);
        return connection;
    }

    private static void readToEnd(Socket connection) throws IOException {
        while (connection.getInputStream().read() >= 0) {
            // The bytes of the commands.
        }
    }

    private static final class OneByteEncoder extends MessageToByteEncoder<MemberCommand> {
        @Override
        protected void encode(ChannelHandlerContext context, MemberCommand command, ByteBuf out) {
            out.writeByte('x');
        }
    }

    private static final class IgnoringOwner implements MemberConnection.Owner {
        @Override
        public void onOpened(MemberConnection connection, MemberAnswer answer) {}

        @Override
        public void onAnswer(MemberConnection connection, MemberAnswer answer, long sentNanos) {}

        @Override
        public void onClosed(MemberConnection connection, String reason) {}

        @Override
        public void onMisuse(MemberConnection connection, String operation) {}
    }
}
