package org.banyanhook.testbed.line;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A caller's session in the line protocol. Used by one thread. */
public final class LineCaller implements AutoCloseable {

    private static final int TIMEOUT_MILLIS = 15_000;

    private final Socket socket;
    private final BufferedReader lines;
    private int lastRequest;

    /**
     * Connects, without opening the session.
     *
     * @param port the port on loopback
     * @throws IOException if the connection is refused
     */
    public LineCaller(int port) throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        lines = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    }

    /** Opens the session and returns the answer's lines. */
    public List<String> open(String database, String key) throws IOException {
        send("STARTUP " + database + " " + key);
        return answer();
    }

    /** Runs a statement and returns the answer's lines. */
    public List<String> run(String statement) throws IOException {
        lastRequest++;
        send("QUERY " + Integer.toHexString(System.identityHashCode(this)) + "-" + lastRequest + " " + statement);
        return answer();
    }

    /** Returns the id of the last request. */
    public String lastRequestId() {
        return Integer.toHexString(System.identityHashCode(this)) + "-" + lastRequest;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    private void send(String line) throws IOException {
        socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Returns the lines up to the one that says ready, or up to the end of the connection. */
    private List<String> answer() throws IOException {
        List<String> answer = new ArrayList<>();
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            answer.add(line);
            if (line.startsWith("READY")) {
                return answer;
            }
        }
        answer.add("CLOSED");
        return answer;
    }
}
