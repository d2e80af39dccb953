package org.banyanhook.testbed.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Hands out ports for processes that are still to be started. They lie below the range from which the kernel takes
 * those of outgoing connections, so that none of these occupies one meanwhile. Safe for use by several threads.
 */
public final class LoopbackPorts {

    private static final int LOWEST = 20_000;
    private static final int COUNT = 12_000;

    private static final AtomicInteger NEXT =
            new AtomicInteger(ThreadLocalRandom.current().nextInt(COUNT));

    private LoopbackPorts() {}

    /**
     * Returns a port that was free when it was tried and that this process hands out only once in a while.
     *
     * @throws IOException if no port is free
     */
    public static int free() throws IOException {
        for (int attempt = 0; attempt < COUNT; attempt++) {
            int port = LOWEST + Math.floorMod(NEXT.getAndIncrement(), COUNT);
            if (isFree(port)) {
                return port;
            }
        }
        throw new IOException("no port from " + LOWEST + " to " + (LOWEST + COUNT - 1) + " is free; end other runs");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("0.0.0.0"))) {
            return socket.isBound();
        } catch (IOException exception) {
            // In use by somebody else; the next one is tried.
            return false;
        }
    }
}
