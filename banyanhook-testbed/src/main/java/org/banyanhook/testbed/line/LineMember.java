package org.banyanhook.testbed.line;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Writer;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** A member of a {@link LineGroup}, which accepts connections in the line protocol on its own port. Thread-safe. */
public final class LineMember implements AutoCloseable {

    private final String name;
    private final LineGroup group;
    private final ServerSocket serverSocket;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final AtomicLong openedConnectionCount = new AtomicLong();
    private volatile boolean unresponsive;
    private volatile boolean dropsAnswers;
    private volatile long workMillis;
    private volatile boolean overloaded;
    private volatile long statusMillis;

    LineMember(String name, LineGroup group) throws IOException {
        this.name = name;
        this.group = group;
        this.serverSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startDaemonThread("accept-" + name, this::acceptConnections);
    }

    /** Returns the name of the member. */
    public String name() {
        return name;
    }

    /** Returns the IP address and port. */
    public String address() {
        return "127.0.0.1:" + serverSocket.getLocalPort();
    }

    /** Returns the number of connections accepted since the start. */
    public long openedConnectionCount() {
        return openedConnectionCount.get();
    }

    /** Ignores all requests on open and new connections while set; the connections stay open. */
    public void unresponsive(boolean value) {
        unresponsive = value;
    }

    /** Runs statements with a request id, but closes their connections instead of answering, while set. */
    public void dropsAnswers(boolean value) {
        dropsAnswers = value;
    }

    /** Sets how long a statement with a request id takes, in milliseconds; other statements are answered at once. */
    public void workMillis(long value) {
        workMillis = value;
    }

    /** Refuses to report its status while set. */
    public void overloaded(boolean value) {
        overloaded = value;
    }

    boolean isOverloaded() {
        return overloaded;
    }

    /** Sets how long the member takes to report its status, in milliseconds. */
    public void statusMillis(long value) {
        statusMillis = value;
    }

    /** Closes the port and all connections abruptly, like a killed process. */
    @Override
    public void close() throws IOException {
        serverSocket.close();
        for (Socket socket : connections) {
            socket.close();
        }
    }

    private void acceptConnections() {
        while (!serverSocket.isClosed()) {
            try {
                Socket socket = serverSocket.accept();
                connections.add(socket);
                openedConnectionCount.incrementAndGet();
                startDaemonThread("serve-" + name, () -> serveConnection(socket));
            } catch (IOException exception) {
                return;
            }
        }
    }

    private void serveConnection(Socket socket) {
        LineSession session = new LineSession(this, group);
        try (socket) {
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            Writer writer = new java.io.OutputStreamWriter(socket.getOutputStream(), StandardCharsets.ISO_8859_1);
            for (String line = reader.readLine(); line != null && !line.equals("TERMINATE"); line = reader.readLine()) {
                if (unresponsive) {
                    continue;
                }
                List<String> answer = new ArrayList<>();
                boolean keepOpen = session.handle(line, answer);
                boolean hasRequestId = line.startsWith("QUERY") && !line.startsWith("QUERY - ");
                if (dropsAnswers && hasRequestId) {
                    return;
                }
                if (workMillis > 0 && hasRequestId) {
                    Thread.sleep(workMillis);
                }
                if (line.endsWith(" STATUS")) {
                    Thread.sleep(statusMillis);
                }
                for (String text : answer) {
                    writer.write(text + "\r\n");
                }
                writer.flush();
                if (!keepOpen) {
                    return;
                }
            }
        } catch (IOException exception) {
            // The connection failed or was closed by the peer, which ends the session.
            connections.remove(socket);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        } finally {
            session.discardUncommittedWrites();
        }
    }

    private static void startDaemonThread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }
}
