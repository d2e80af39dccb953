import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** A small HTTP/1.1 server with a thread for each connection. */
final class HttpServer2 implements AutoCloseable {
    private final ServerSocket listener;
    private final Handler handler;

    record Request(String method, String path, Map<String, String> query, Map<String, String> headers, String body) {}

    record Response(int status, String body, Map<String, String> headers) {
        static Response of(int status, String body) {
            return new Response(status, body, Map.of());
        }
    }

    interface Handler {
        Response handle(Request request) throws InterruptedException;
    }

    HttpServer2(Handler handler) throws IOException {
        this.handler = handler;
        this.listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Threads.start("http-accept", this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Threads.start("http", () -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                String first = line(in);
                if (first == null || first.isEmpty()) {
                    return;
                }
                Map<String, String> headers = new HashMap<>();
                for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
                    int colon = header.indexOf(':');
                    headers.put(header.substring(0, colon).trim().toLowerCase(), header.substring(colon + 1).trim());
                }
                byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
                String[] words = first.split(" ");
                String[] target = words[1].split("\\?", 2);
                Map<String, String> query = new HashMap<>();
                if (target.length > 1) {
                    for (String pair : target[1].split("&")) {
                        String[] parts = pair.split("=", 2);
                        query.put(parts[0], java.net.URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
                    }
                }
                Response response = handler.handle(new Request(
                        words[0], target[0], query, headers, new String(body, StandardCharsets.UTF_8)));
                byte[] bytes = response.body().getBytes(StandardCharsets.UTF_8);
                StringBuilder head = new StringBuilder("HTTP/1.1 " + response.status() + " X\r\nContent-Type: application/json\r\nContent-Length: "
                        + bytes.length + "\r\n");
                response.headers().forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
                head.append("\r\n");
                ByteArrayOutputStream whole = new ByteArrayOutputStream();
                whole.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
                whole.write(bytes);
                out.write(whole.toByteArray());
                out.flush();
            }
        } catch (IOException | RuntimeException ended) {
            // The connection ends.
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                int length = text.length();
                if (length > 0 && text.charAt(length - 1) == '\r') {
                    text.setLength(length - 1);
                }
                return text.toString();
            }
            text.append((char) next);
        }
        return null;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
