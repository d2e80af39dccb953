import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** A client's session. */
final class Caller implements AutoCloseable {
    private static final AtomicLong IDS = new AtomicLong();

    private final Socket socket = new Socket();
    private final BufferedReader in;
    private final OutputStream out;
    private final Journal journal;
    private final String name;
    /** The state that the last READY told. */
    String state = "";

    /** The answer to a statement: its id, its error code (empty on success) and its rows. */
    record Answer(String id, String error, List<String> rows) {
        boolean succeeded() {
            return error.isEmpty();
        }

        boolean promisesNothingKept() {
            return List.of("BUSY", "ABORTED", "LAGGING", "READONLY", "MOVED", "MAXCONN").contains(error);
        }
    }

    Caller(String name, InetSocketAddress address, String database, String key, Journal journal) throws IOException {
        this.name = name;
        this.journal = journal;
        socket.connect(address, 2_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(10_000);
        in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        out = socket.getOutputStream();
        send("STARTUP " + database + " " + key + "\r\n");
        Answer opened = receive("");
        if (!opened.succeeded()) {
            throw new IOException("session refused: " + opened.error());
        }
    }

    static String nextId() {
        return String.format("%016x", 0x5c0e7a2100000000L + IDS.incrementAndGet());
    }

    Answer run(String text) throws IOException {
        String id = nextId();
        journal.line(name, "sends " + id + " " + text);
        send("QUERY " + id + " " + text + "\r\n");
        try {
            Answer answer = receive(id);
            journal.line(
                    name,
                    "gets  " + id + " " + (answer.succeeded() ? "success" : answer.error()) + " state " + state);
            return answer;
        } catch (IOException exception) {
            journal.line(name, "gets  " + id + " no answer: " + exception.getMessage());
            throw exception;
        }
    }

    void send(String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    Answer receive(String id) throws IOException {
        List<String> rows = new ArrayList<>();
        String error = "";
        while (true) {
            String line = in.readLine();
            if (line == null) {
                if (!error.isEmpty()) {
                    return new Answer(id, error, rows);
                }
                throw new IOException("closed");
            }
            String[] words = line.split(" ", 3);
            switch (words[0]) {
                case "DATAROW" -> rows.add(line.substring(8));
                case "ERROR" -> error = words[1];
                case "READY" -> {
                    state = words[1];
                    return new Answer(id, error, rows);
                }
                default -> {}
            }
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
