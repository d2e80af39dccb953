package org.banyanhook.testbed.fleet;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finds free ports on 127.0.0.1 for processes that open them a moment later. The ports lie below the range from which
 * the kernel takes those of outgoing connections, which would otherwise take them in between.
 */
final class FreePorts {

    private static final int FIRST_PORT = 12_000;
    private static final int LAST_PORT = 32_000;
    private static final int MAXIMUM_ATTEMPTS = 1_000;

    private FreePorts() {}

    /** Returns the given number of addresses that were free a moment ago. */
    static List<String> addresses(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        List<String> addresses = new ArrayList<>();
        try {
            for (int number = 0; number < count; number++) {
                ServerSocket socket = openFreePort();
                sockets.add(socket);
                addresses.add("127.0.0.1:" + socket.getLocalPort());
            }
        } finally {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
        return addresses;
    }

    private static ServerSocket openFreePort() throws IOException {
        for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            try {
                return new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
            } catch (BindException exception) {
                // The port is in use; the next attempt takes another one.
                continue;
            }
        }
        throw new IOException("no free port from " + FIRST_PORT + " to " + LAST_PORT + "; end other processes");
    }
}
