package org.banyanhook.gateway.operation;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards that the close of a port resets no connection that the kernel has established. */
final class ListeningChannelTest {

    private static final int WAITING_CONNECTIONS = 100;
    private static final int TIMEOUT_MILLIS = 5_000;

    private final MultiThreadIoEventLoopGroup eventLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void stop() throws Exception {
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Connections that waited while the event loop was held up were reset. */
    @Test
    void connectionsThatWaitWhenThePortIsClosedAreServed() throws Exception {
        ListeningChannel port = listen();
        CountDownLatch heldUp = new CountDownLatch(1);
        eventLoops.next().execute(() -> awaitUninterruptibly(heldUp));
        List<Socket> callers = new ArrayList<>();
        for (int caller = 0; caller < WAITING_CONNECTIONS; caller++) {
            Socket socket = connect(port);
            socket.getOutputStream().write(caller);
            callers.add(socket);
        }
        CompletableFuture<Void> closed = port.closeAfterAccepting();
        heldUp.countDown();
        closed.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        for (int caller = 0; caller < WAITING_CONNECTIONS; caller++) {
            Socket socket = callers.get(caller);
            socket.setSoTimeout(TIMEOUT_MILLIS);
            assertThat(socket.getInputStream().read()).isEqualTo(caller);
            socket.close();
        }
    }

    @Test
    void connectionsAreRefusedOnceThePortIsClosed() throws Exception {
        ListeningChannel port = listen();
        InetSocketAddress address = port.localAddress();
        port.closeAfterAccepting().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        assertThrows(ConnectException.class, () -> new Socket(address.getAddress(), address.getPort()));
    }

    @Test
    void portThatIsClosedAlreadyCompletes() throws Exception {
        ListeningChannel port = listen();
        port.close().await(TIMEOUT_MILLIS);
        port.closeAfterAccepting().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private ListeningChannel listen() {
        Channel port = NettyBootstraps.serverBootstrap(eventLoops, echo())
                .bind(InetAddress.getLoopbackAddress(), 0)
                .syncUninterruptibly()
                .channel();
        return (ListeningChannel) port;
    }

    private static ChannelInitializer<Channel> echo() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelRead(ChannelHandlerContext context, Object message) {
                        context.writeAndFlush(message, context.voidPromise());
                    }
                });
            }
        };
    }

    private static Socket connect(ListeningChannel port) throws Exception {
        InetSocketAddress address = port.localAddress();
        return new Socket(address.getAddress(), address.getPort());
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            boolean unused = latch.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
