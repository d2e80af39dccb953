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
    private final ServerSocket listening;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final AtomicLong opened = new AtomicLong();
    private volatile boolean dark;
    private volatile boolean losesAnswers;

    LineMember(String name, LineGroup group) throws IOException {
        this.name = name;
        this.group = group;
        this.listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        start("accept-" + name, this::accept);
    }

    /** Returns its name. */
    public String name() {
        return name;
    }

    /** Returns its IP number and port. */
    public String address() {
        return "127.0.0.1:" + listening.getLocalPort();
    }

    /** Returns how many connections were ever opened. */
    public long opened() {
        return opened.get();
    }

    /** Answers nothing any more, on open and new connections, while set. */
    public void dark(boolean value) {
        dark = value;
    }

    /** Runs statements without answering them, while set, and closes their connections instead. */
    public void losesAnswers(boolean value) {
        losesAnswers = value;
    }

    /** Ends as a process that is killed. */
    @Override
    public void close() throws IOException {
        listening.close();
        for (Socket socket : connections) {
            socket.close();
        }
    }

    private void accept() {
        while (!listening.isClosed()) {
            try {
                Socket socket = listening.accept();
                connections.add(socket);
                opened.incrementAndGet();
                start("serve-" + name, () -> serve(socket));
            } catch (IOException exception) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        LineSession session = new LineSession(this, group);
        try (socket) {
            BufferedReader lines =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            Writer out = new java.io.OutputStreamWriter(socket.getOutputStream(), StandardCharsets.ISO_8859_1);
            for (String line = lines.readLine(); line != null && !line.equals("TERMINATE"); line = lines.readLine()) {
                if (dark) {
                    continue;
                }
                List<String> answer = new ArrayList<>();
                boolean goesOn = session.handle(line, answer);
                if (losesAnswers && line.startsWith("QUERY") && !line.startsWith("QUERY - ")) {
                    return;
                }
                for (String text : answer) {
                    out.write(text + "\r\n");
                }
                out.flush();
                if (!goesOn) {
                    return;
                }
            }
        } catch (IOException exception) {
            // The peer went away, which ends the session.
            connections.remove(socket);
        } finally {
            session.end();
        }
    }

    private static void start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }
}
