package org.banyanhook.testbed.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Finds free ports on 127.0.0.1. */
final class FreePorts {

    private FreePorts() {}

    /** Returns the given number of addresses that were free a moment ago. */
    static List<String> addresses(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        List<String> addresses = new ArrayList<>();
        try {
            for (int number = 0; number < count; number++) {
                ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
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
}
