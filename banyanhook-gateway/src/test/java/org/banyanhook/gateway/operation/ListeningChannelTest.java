package org.banyanhook.gateway.operation;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards that the close of a port resets no connection that the kernel has established. */
final class ListeningChannelTest {

    private static final int WAITING_CONNECTIONS = 100;
    private static final int PERSISTENT_CALLERS = 12;
    private static final int TIMEOUT_MILLIS = 5_000;

    private final MultiThreadIoEventLoopGroup eventLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    private final ExecutorService threads = Executors.newCachedThreadPool();

    @AfterEach
    void stop() throws Exception {
        threads.shutdownNow();
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
        CompletableFuture<Void> closed = close(port);
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
        close(port).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        assertThrows(ConnectException.class, () -> new Socket(address.getAddress(), address.getPort()));
    }

    @Test
    void portThatIsClosedAlreadyCompletes() throws Exception {
        ListeningChannel port = listen();
        close(port).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        close(port).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** A caller who was refused at once connected again before the port was closed, and was reset. */
    @Test
    void callersWhoConnectAgainAfterEachAnswerAreServedOrRefused() throws Exception {
        ListeningChannel port = listen();
        InetSocketAddress address = port.localAddress();
        List<CompletableFuture<Integer>> callers = new ArrayList<>();
        for (int caller = 0; caller < PERSISTENT_CALLERS; caller++) {
            callers.add(CompletableFuture.supplyAsync(() -> exchangeUntilRefused(address), threads));
        }
        Thread.sleep(100);
        close(port).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        for (CompletableFuture<Integer> caller : callers) {
            assertThat(caller.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isGreaterThan(0);
        }
    }

    private static int exchangeUntilRefused(InetSocketAddress address) {
        int exchanges = 0;
        while (true) {
            try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
                socket.setSoTimeout(TIMEOUT_MILLIS);
                socket.getOutputStream().write(1);
                if (socket.getInputStream().read() != 1) {
                    throw new IllegalStateException("not answered after " + exchanges + " exchanges");
                }
                exchanges++;
            } catch (ConnectException exception) {
                return exchanges;
            } catch (IOException exception) {
                throw new UncheckedIOException(exception);
            }
        }
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

    private CompletableFuture<Void> close(ListeningChannel port) {
        return CompletableFuture.supplyAsync(port::closeAfterAccepting, eventLoops.next())
                .thenCompose(closed -> closed);
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
