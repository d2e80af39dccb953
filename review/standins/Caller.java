import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/** A client's session. */
final class Caller implements AutoCloseable {
    /** Windows of links are small. */
    private static final int RECEIVE_WINDOW_BYTES = 64 << 10;

    private static final AtomicLong IDS = new AtomicLong();

    private final Socket socket = new Socket();
    private final LineReader in;
    private final OutputStream out;
    private final Journal journal;
    private final String name;
    private int rowsReceived;
    private Consumer<String> beforeRun = id -> {};
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
        socket.setReceiveBufferSize(RECEIVE_WINDOW_BYTES);
        socket.connect(address, 2_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(10_000);
        in = new LineReader(socket.getInputStream());
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

    /** Sets what is told the id of each statement before it is sent. */
    void beforeRun(Consumer<String> listener) {
        beforeRun = listener;
    }

    Answer run(String text) throws IOException {
        return run(nextId(), text);
    }

    Answer run(String id, String text) throws IOException {
        beforeRun.accept(id);
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

    /** Returns how many rows of the last answer have arrived. */
    int rowsReceived() {
        return rowsReceived;
    }

    Answer receive(String id) throws IOException {
        rowsReceived = 0;
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
                case "DATAROW" -> {
                    rows.add(line.substring(8));
                    rowsReceived++;
                }
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
