package org.banyanhook.daemon.backend;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A backend server for tests whose responses, valid or faulty, are defined by a script. */
public final class ScriptedBackendServer implements AutoCloseable {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Pattern CONTENT_LENGTH = Pattern.compile("(?i)content-length: (\\d+)");

    private final ServerSocket serverSocket;
    private final Thread acceptor;
    private final List<String> receivedRequests = new CopyOnWriteArrayList<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final AtomicInteger connectionCount = new AtomicInteger();
    private volatile Function<ReceivedRequest, Reply> script = request -> Reply.ok(request.body());

    public ScriptedBackendServer() throws IOException {
        serverSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        acceptor = startThread(this::accept);
    }

    /** A received request: its number over all connections, its connection's number (both from 1), head and body. */
    public record ReceivedRequest(int number, int connection, String head, ObjectNode body) {
        public boolean isFor(String path) {
            return head.startsWith("POST " + path + " ");
        }
    }

    /** The bytes to send, possibly none, and whether to close the connection afterwards. */
    public record Reply(byte[] bytes, boolean close) {
        public static Reply ok(ObjectNode request) {
            return ok(request, 1, 1, "{\"n\":1}");
        }

        public static Reply ok(ObjectNode request, long term, long position, String result) {
            return json(
                    200,
                    "{\"answerId\":" + request.path("answerId") + ",\"term\":" + term + ",\"lastTerm\":" + term
                            + ",\"position\":" + position + ",\"result\":" + result + ",\"replayed\":false}");
        }

        public static Reply json(int status, String body) {
            return new Reply(http(status, body, body.length()), false);
        }

        public static Reply refusal(ObjectNode request, int status, String error, long term) {
            return json(
                    status,
                    "{\"answerId\":" + request.path("answerId") + ",\"error\":\"" + error + "\",\"term\":" + term
                            + "}");
        }

        public static Reply truncated(Reply complete) {
            return new Reply(java.util.Arrays.copyOf(complete.bytes, complete.bytes.length - 5), true);
        }

        public static Reply noResponse() {
            return new Reply(new byte[0], false);
        }

        public static Reply closeWithoutResponse() {
            return new Reply(new byte[0], true);
        }

        public static byte[] http(int status, String body, int declaredLength) {
            return ("HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nContent-Length: " + declaredLength
                            + "\r\n\r\n" + body)
                    .getBytes(StandardCharsets.UTF_8);
        }
    }

    public String address() {
        return "127.0.0.1:" + serverSocket.getLocalPort();
    }

    public void script(Function<ReceivedRequest, Reply> value) {
        script = value;
    }

    /** Returns the heads and bodies of all requests in the order of arrival. */
    public List<String> receivedRequests() {
        return receivedRequests;
    }

    public int connectionCount() {
        return connectionCount.get();
    }

    /** Waits for the acceptor thread to end; an accept in progress could otherwise still open a connection. */
    @Override
    public void close() throws IOException {
        serverSocket.close();
        try {
            acceptor.join();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private void accept() {
        while (!serverSocket.isClosed()) {
            try {
                Socket socket = serverSocket.accept();
                sockets.add(socket);
                if (serverSocket.isClosed()) {
                    socket.close();
                    return;
                }
                int connection = connectionCount.incrementAndGet();
                startThread(() -> serve(socket, connection));
            } catch (IOException exception) {
                return;
            }
        }
    }

    private void serve(Socket socket, int connection) {
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            OutputStream output = socket.getOutputStream();
            String head = readHead(input);
            while (!head.isEmpty()) {
                Reply reply = replyTo(head, input, connection);
                output.write(reply.bytes());
                output.flush();
                if (reply.close()) {
                    return;
                }
                head = readHead(input);
            }
        } catch (IOException exception) {
            receivedRequests.add("connection lost: " + exception.getMessage());
        }
    }

    private Reply replyTo(String head, InputStream input, int connection) throws IOException {
        Matcher length = CONTENT_LENGTH.matcher(head);
        byte[] body = input.readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
        receivedRequests.add(head + new String(body, StandardCharsets.UTF_8));
        ObjectNode json = body.length == 0 ? MAPPER.createObjectNode() : (ObjectNode) MAPPER.readTree(body);
        return script.apply(new ReceivedRequest(receivedRequests.size(), connection, head, json));
    }

    private static String readHead(InputStream input) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int next = input.read();
        while (next >= 0) {
            head.write(next);
            if (next == '\n' && head.toString(StandardCharsets.UTF_8).endsWith("\r\n\r\n")) {
                return head.toString(StandardCharsets.UTF_8);
            }
            next = input.read();
        }
        return "";
    }

    private static Thread startThread(Runnable task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (UncheckedIOException exception) {
                        throw new AssertionError(exception);
                    }
                },
                "scripted-backend");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
