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

/** One member of a {@link LineGroup}: a port whose connections speak the line protocol. Safe for several threads. */
public final class LineMember implements AutoCloseable {

    private final String name;
    private final LineGroup group;
    private final ServerSocket serverSocket;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final AtomicLong openedConnectionCount = new AtomicLong();
    private volatile boolean unresponsive;
    private volatile boolean dropsAnswers;

    LineMember(String name, LineGroup group) throws IOException {
        this.name = name;
        this.group = group;
        this.serverSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startDaemonThread("accept-" + name, this::acceptConnections);
    }

    /** Returns its name. */
    public String name() {
        return name;
    }

    /** Returns its IP number and port. */
    public String address() {
        return "127.0.0.1:" + serverSocket.getLocalPort();
    }

    /** Returns how many connections were ever opened. */
    public long openedConnectionCount() {
        return openedConnectionCount.get();
    }

    /** Answers nothing any more, on open and new connections, while set. */
    public void unresponsive(boolean value) {
        unresponsive = value;
    }

    /** Runs statements without answering them, while set, and closes their connections instead. */
    public void dropsAnswers(boolean value) {
        dropsAnswers = value;
    }

    /** Ends as a process that is killed. */
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
                if (dropsAnswers && line.startsWith("QUERY") && !line.startsWith("QUERY - ")) {
                    return;
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
            // The peer went away, which ends the session.
            connections.remove(socket);
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
