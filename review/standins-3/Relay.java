import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A TCP relay to one address. While it is cut, nothing passes in either direction and nothing is reset. Thread-safe. */
final class Relay implements AutoCloseable {

    private final String host;
    private final int port;
    private final ServerSocket server;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile boolean cut;

    Relay(String target) throws IOException {
        host = target.substring(0, target.indexOf(':'));
        port = Integer.parseInt(target.substring(target.indexOf(':') + 1));
        server = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
        start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Cuts the path, or restores it; the connections of before end then, with the bytes that were held up. */
    void cut(boolean value) {
        boolean restored = cut && !value;
        cut = value;
        if (restored) {
            sockets.forEach(Relay::closeQuietly);
        }
    }

    @Override
    public void close() {
        closeQuietly(server);
        sockets.forEach(Relay::closeQuietly);
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket near = server.accept();
                sockets.add(near);
                start(() -> connect(near));
            } catch (IOException exception) {
                return;
            }
        }
    }

    private void connect(Socket near) {
        try {
            if (!awaitPath()) {
                closeQuietly(near);
                return;
            }
            Socket far = new Socket(host, port);
            far.setTcpNoDelay(true);
            near.setTcpNoDelay(true);
            sockets.add(far);
            start(() -> copy(near, far));
            copy(far, near);
        } catch (IOException exception) {
            closeQuietly(near);
        }
    }

    /** Waits while the path is cut; returns false if it was, since what was sent meanwhile is lost. */
    private boolean awaitPath() {
        boolean open = !cut;
        while (cut && !server.isClosed()) {
            try {
                Thread.sleep(20);
            } catch (InterruptedException exception) {
                return false;
            }
        }
        return open;
    }

    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[16_384];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                if (!awaitPath()) {
                    break;
                }
                out.write(buffer, 0, count);
                out.flush();
            }
        } catch (IOException exception) {
            // One side has ended the connection.
        }
        awaitPath();
        closeQuietly(from);
        closeQuietly(to);
        sockets.remove(from);
        sockets.remove(to);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    private static void closeQuietly(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception exception) {
            // It is of no use any more.
        }
    }
}
