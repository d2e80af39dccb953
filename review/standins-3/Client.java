import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ThreadLocalRandom;

/** A client with one session. Not thread-safe. */
final class Client implements AutoCloseable {

    private static final int TIMEOUT_MILLIS = 6_000;

    private final Trace trace;
    private final String name;
    private final Socket socket;
    private final BufferedReader in;
    private String lastId = "";
    private long lastSentMillis;

    /** The answer to a statement: its rows, its signature or its error, and when it arrived. */
    record Answer(String rows, String signature, String error, String state, long millis) {
        boolean succeeded() {
            return error.isEmpty();
        }
    }

    Client(Trace trace, String name, String daemon, int port, String database, String key) throws IOException {
        this.trace = trace;
        this.name = name;
        socket = new Socket("127.0.0.1", port);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        send("STARTUP " + database + " " + key);
        String opened = in.readLine();
        trace.line(name, "session at " + daemon + " for " + database + ": " + opened);
        if (opened == null || !opened.startsWith("READY")) {
            throw new IOException("session refused: " + opened);
        }
    }

    /** Returns the id of the last statement. */
    String lastId() {
        return lastId;
    }

    /** Returns when the last statement was sent. */
    long lastSentMillis() {
        return lastSentMillis;
    }

    /** Runs a statement under a new id. A broken connection or a missing answer has the error NONE. */
    Answer run(String statement) {
        lastId = Long.toHexString(ThreadLocalRandom.current().nextLong() | Long.MIN_VALUE);
        lastSentMillis = trace.millis();
        Answer answer;
        try {
            trace.line(name, "sends " + lastId + " " + statement);
            send("QUERY " + lastId + " " + statement);
            answer = receive();
        } catch (IOException exception) {
            answer = new Answer("", "", "NONE " + exception.getMessage(), "", trace.millis());
        }
        trace.line(name, "is answered " + answer);
        return answer;
    }

    private Answer receive() throws IOException {
        StringBuilder rows = new StringBuilder();
        String signature = "";
        String error = "";
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (line.startsWith("DATAROW ")) {
                rows.append(rows.length() == 0 ? "" : "|").append(line.substring(8));
            } else if (line.startsWith("COMPLETE ")) {
                signature = line.substring(9);
            } else if (line.startsWith("ERROR ")) {
                error = line.substring(6);
            } else if (line.startsWith("READY ")) {
                return new Answer(rows.toString(), signature, error, line.substring(6, 7), trace.millis());
            }
        }
        return new Answer("", "", "NONE the connection ended", "", trace.millis());
    }

    private void send(String line) throws IOException {
        socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
