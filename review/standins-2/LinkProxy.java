import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A TCP proxy in front of one server. While it is cut, it takes bytes and passes none on, in either direction. */
final class LinkProxy implements AutoCloseable {
    private final ServerSocket listener;
    private final InetSocketAddress target;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile boolean cut;

    LinkProxy(String address) throws IOException {
        String[] parts = address.split(":");
        target = new InetSocketAddress(parts[0], Integer.parseInt(parts[1]));
        listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Threads.start("proxy", this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Makes all open and new connections silent. */
    void cut() {
        cut = true;
    }

    /** Ends the cut. The connections that were silent end, so that the bytes that were held up are lost. */
    void heal() {
        sockets.forEach(LinkProxy::close);
        cut = false;
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket client = listener.accept();
                client.setTcpNoDelay(true);
                sockets.add(client);
                if (!cut) {
                    Socket server = new Socket();
                    server.setTcpNoDelay(true);
                    server.connect(target, 1_000);
                    sockets.add(server);
                    Threads.start("proxy-up", () -> pump(client, server));
                    Threads.start("proxy-down", () -> pump(server, client));
                }
            } catch (IOException refused) {
                // The next connection may succeed.
            }
        }
    }

    private void pump(Socket from, Socket to) {
        byte[] buffer = new byte[1 << 16];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                while (cut) {
                    Threads.sleep(5);
                    if (from.isClosed() || to.isClosed()) {
                        return;
                    }
                }
                out.write(buffer, 0, read);
            }
        } catch (IOException ended) {
            // Both sides end together.
        } finally {
            close(from);
            close(to);
            sockets.remove(from);
            sockets.remove(to);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // It is closed already.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        sockets.forEach(LinkProxy::close);
    }
}
