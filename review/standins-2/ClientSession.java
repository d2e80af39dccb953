import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A client's session, which has at most one request outstanding. */
final class ClientSession implements AutoCloseable {
    private final Socket socket = new Socket();
    private final InputStream in;

    /**
     * An answer.
     *
     * @param rows the rows
     * @param signature the signature of a success, else empty
     * @param error the code of an error, else empty
     * @param state the state of the session
     */
    record Answer(List<String> rows, String signature, String error, String state) {
        boolean succeeded() {
            return error.isEmpty();
        }
    }

    ClientSession(Gateways.Gateway gateway, int timeoutMillis) throws IOException {
        this(gateway.settings().ip(), gateway.clientPort(), timeoutMillis);
    }

    ClientSession(String ip, int port, int timeoutMillis) throws IOException {
        socket.connect(new InetSocketAddress(ip, port), timeoutMillis);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMillis);
        in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
    }

    /** Opens the session; returns the code of an error, or an empty text. */
    String open(String database, String key) throws IOException {
        write("STARTUP " + database + " " + key);
        return answer().error();
    }

    Answer query(String requestId, String text) throws IOException {
        write("QUERY " + requestId + " " + text);
        return answer();
    }

    /** Sends requests ahead, without waiting for their answers; returns the answer to the last one. */
    Answer pipeline(List<String> requests) throws IOException {
        StringBuilder lines = new StringBuilder();
        requests.forEach(request -> lines.append("QUERY ").append(request).append("\r\n"));
        socket.getOutputStream().write(lines.toString().getBytes(StandardCharsets.ISO_8859_1));
        Answer last = null;
        for (int number = 0; number < requests.size(); number++) {
            last = answer();
        }
        return last;
    }

    private void write(String line) throws IOException {
        socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    private Answer answer() throws IOException {
        List<String> rows = new ArrayList<>();
        String signature = "";
        String error = "";
        while (true) {
            String line = line();
            if (line == null) {
                if (!error.isEmpty()) {
                    return new Answer(rows, signature, error, "");
                }
                throw new IOException("the connection ended without an answer");
            }
            String[] words = line.split(" ", 3);
            switch (words[0]) {
                case "DATAROW" -> rows.add(line.substring(8));
                case "COMPLETE" -> signature = words[1];
                case "ERROR" -> error = words[1];
                case "READY" -> {
                    return new Answer(rows, signature, error, words[1]);
                }
                default -> throw new IOException("unknown answer " + line);
            }
        }
    }

    private String line() throws IOException {
        StringBuilder text = new StringBuilder();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n' && text.length() > 0 && text.charAt(text.length() - 1) == '\r') {
                text.setLength(text.length() - 1);
                return text.toString();
            }
            text.append((char) next);
        }
        return null;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
