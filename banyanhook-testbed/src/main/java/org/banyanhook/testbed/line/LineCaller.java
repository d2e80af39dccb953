package org.banyanhook.testbed.line;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A caller that runs one session over the line protocol. Not thread-safe, except that one thread may send while another
 * receives.
 */
public final class LineCaller implements AutoCloseable {

    private static final int READ_TIMEOUT_MILLIS = 15_000;

    private final Socket socket;
    private final BufferedReader reader;
    private int lastRequestNumber;

    /**
     * Connects without opening the session.
     *
     * @param port the port on the loopback address
     * @throws IOException if the connection is refused
     */
    public LineCaller(int port) throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        reader = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    }

    /** Opens the session and returns the lines of the answer. */
    public List<String> open(String database, String key) throws IOException {
        sendOpen(database, key);
        return readAnswer();
    }

    /** Sends the request that opens the session without waiting for its answer. */
    public void sendOpen(String database, String key) throws IOException {
        sendLine("STARTUP " + database + " " + key);
    }

    /** Runs a statement under a new request id and returns the lines of the answer. */
    public List<String> run(String statement) throws IOException {
        send(statement);
        return readAnswer();
    }

    /** Sends a statement under a new request id, which is returned, without waiting for its answer. */
    public String send(String statement) throws IOException {
        lastRequestNumber++;
        sendLine("QUERY " + lastRequestId() + " " + statement);
        return lastRequestId();
    }

    /**
     * Returns the lines of the next answer, or, if the connection ends before it is complete, those so far and CLOSED.
     */
    public List<String> receive() throws IOException {
        return readAnswer();
    }

    /**
     * Runs a statement and counts the rows of its answer.
     *
     * @param statement the statement
     * @return the number of rows
     * @throws IOException if the answer is not complete; the message tells its other lines, or that the connection
     *     ended
     */
    public int countRows(String statement) throws IOException {
        lastRequestNumber++;
        long sentNanos = System.nanoTime();
        sendLine("QUERY " + lastRequestId() + " " + statement);
        int rows = 0;
        boolean completed = false;
        List<String> otherLines = new ArrayList<>();
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            if (line.startsWith("DATAROW ")) {
                rows++;
                continue;
            }
            otherLines.add(line);
            completed |= line.startsWith("COMPLETE ");
            if (line.startsWith("READY")) {
                if (completed) {
                    return rows;
                }
                throw incomplete(statement, rows, sentNanos, otherLines.toString());
            }
        }
        throw incomplete(statement, rows, sentNanos, otherLines + " and the end of the connection");
    }

    private static IOException incomplete(String statement, int rows, long sentNanos, String ending) {
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
        return new IOException(
                "the answer to " + statement + " ended after " + rows + " rows and " + millis + " ms with " + ending);
    }

    /** Returns the request id of the last statement. */
    public String lastRequestId() {
        return Integer.toHexString(System.identityHashCode(this)) + "-" + lastRequestNumber;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    private void sendLine(String line) throws IOException {
        socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Returns the lines up to the READY line, or, if the connection ends before it, the lines so far and CLOSED. */
    private List<String> readAnswer() throws IOException {
        List<String> answerLines = new ArrayList<>();
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            answerLines.add(line);
            if (line.startsWith("READY")) {
                return answerLines;
            }
        }
        answerLines.add("CLOSED");
        return answerLines;
    }
}
