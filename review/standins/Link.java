import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A TCP proxy that stands for the network between one process and one address.
 *
 * <p>While it is cut, nothing passes and nothing is reset. Bytes that were sent over an established connection are held
 * and delivered after the cut, unless the sender has reset the connection; connections that were opened during the cut
 * and given up before its end never reach the other side. With {@code retransmission}, held bytes are delivered when TCP
 * would send them again: 0.2, 0.6, 1.4, 3.0, 6.2 and 12.6 s after they were first sent.
 */
final class Link implements AutoCloseable {
    private static final long[] RETRANSMISSION_MILLIS = {200, 600, 1_400, 3_000, 6_200, 12_600, 25_400};

    private final ServerSocket listener;
    private final InetSocketAddress target;
    private final boolean retransmission;
    /** After how many milliseconds of a cut the far end drops a connection; 0 for never. */
    private final long dropMillis;

    private final Set<Pair> pairs = ConcurrentHashMap.newKeySet();
    private volatile boolean cut;
    private volatile long cutSinceNanos;
    private volatile boolean closed;

    Link(InetSocketAddress target, boolean retransmission, long dropMillis) throws IOException {
        this.target = target;
        this.retransmission = retransmission;
        this.dropMillis = dropMillis;
        this.listener = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
        start("link", this::accept);
    }

    static void start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    void cut(boolean value) {
        if (value) {
            cutSinceNanos = System.nanoTime();
        }
        cut = value;
    }

    boolean isCut() {
        return cut;
    }

    /** Makes a share of the present connections silent for good, without a reset; later ones work. Returns how many. */
    int silencePresent(double share) {
        int count = 0;
        long wanted = Math.round(share * pairs.stream().filter(pair -> !pair.ended).count());
        for (Pair pair : pairs) {
            if (!pair.ended && count < wanted) {
                pair.silent = true;
                start("drop", pair::dropFarEnd);
                count++;
            }
        }
        return count;
    }

    /** Resets all present connections on the near side, as a machine does that has started again. */
    void resetPresent() {
        for (Pair pair : pairs) {
            pair.reset();
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
        for (Pair pair : pairs) {
            pair.reset();
        }
    }

    private void accept() {
        while (!closed) {
            try {
                Socket near = listener.accept();
                near.setTcpNoDelay(true);
                Pair pair = new Pair(near, cut);
                pairs.add(pair);
                start("pair", pair::run);
            } catch (IOException exception) {
                return;
            }
        }
    }

    private final class Pair {
        private final Socket near;
        private final boolean openedDuringCut;
        private volatile Socket far;
        private volatile boolean silent;
        private volatile boolean ended;
        private volatile boolean nearClosed;

        Pair(Socket near, boolean openedDuringCut) {
            this.near = near;
            this.openedDuringCut = openedDuringCut;
        }

        void run() {
            Flow toFar = new Flow();
            start("read-near", () -> read(near, toFar, true));
            try {
                while (cut && !closed) {
                    Thread.sleep(5);
                }
                if (openedDuringCut && nearClosed) {
                    finish();
                    return;
                }
                Socket socket = new Socket();
                socket.connect(target, 1_000);
                socket.setTcpNoDelay(true);
                far = socket;
                Flow toNear = new Flow();
                start("read-far", () -> read(far, toNear, false));
                start("write-near", () -> write(toNear, near));
                write(toFar, far);
            } catch (IOException | InterruptedException exception) {
                reset();
            }
        }

        private void read(Socket from, Flow flow, boolean isNear) {
            byte[] buffer = new byte[16_384];
            try {
                InputStream in = from.getInputStream();
                for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                    byte[] bytes = new byte[count];
                    System.arraycopy(buffer, 0, bytes, 0, count);
                    flow.add(bytes);
                }
                if (isNear) {
                    nearClosed = true;
                }
                flow.add(new byte[0]);
            } catch (IOException exception) {
                nearClosed |= isNear;
                flow.discard();
            }
        }

        private void write(Flow flow, Socket to) {
            try {
                OutputStream out = to.getOutputStream();
                while (true) {
                    Chunk chunk = flow.take();
                    if (!awaitPassage(chunk, flow)) {
                        finish();
                        return;
                    }
                    if (chunk.bytes().length == 0) {
                        if (flow.wasReset()) {
                            reset();
                        } else {
                            to.shutdownOutput();
                        }
                        return;
                    }
                    out.write(chunk.bytes());
                    out.flush();
                }
            } catch (IOException | InterruptedException exception) {
                reset();
            }
        }

        /** Waits while the chunk cannot pass; returns false if the connection was dropped meanwhile. */
        private boolean awaitPassage(Chunk chunk, Flow flow) throws InterruptedException {
            if (silent) {
                Thread.sleep(3_000);
                return false;
            }
            if (!cut) {
                return true;
            }
            while (cut && !closed) {
                if (dropMillis > 0 && System.nanoTime() - cutSinceNanos > dropMillis * 1_000_000) {
                    return false;
                }
                Thread.sleep(2);
            }
            if (retransmission) {
                long now = System.nanoTime();
                for (long millis : RETRANSMISSION_MILLIS) {
                    long due = chunk.sentNanos() + millis * 1_000_000;
                    if (due >= now) {
                        Thread.sleep((due - now) / 1_000_000);
                        break;
                    }
                }
            }
            return !flow.wasReset();
        }

        /** The far end drops a connection whose near end has been dark for three seconds. */
        private void dropFarEnd() {
            try {
                Thread.sleep(3_000);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
            closeQuietly(far);
        }

        private void finish() {
            ended = true;
            pairs.remove(this);
            closeQuietly(far);
            if (!silent) {
                closeQuietly(near);
            }
        }

        void reset() {
            ended = true;
            pairs.remove(this);
            for (Socket socket : new Socket[] {near, far}) {
                if (socket != null) {
                    try {
                        socket.setSoLinger(true, 0);
                    } catch (IOException exception) {
                        // It is closed already.
                    }
                    closeQuietly(socket);
                }
            }
        }
    }

    private static void closeQuietly(Socket socket) {
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException exception) {
                // Nothing is left to do.
            }
        }
    }

    private record Chunk(byte[] bytes, long sentNanos) {}

    private static final class Flow {
        private final Deque<Chunk> chunks = new ArrayDeque<>();
        private boolean reset;

        synchronized void add(byte[] bytes) {
            chunks.add(new Chunk(bytes, System.nanoTime()));
            notifyAll();
        }

        synchronized void discard() {
            chunks.clear();
            reset = true;
            chunks.add(new Chunk(new byte[0], System.nanoTime()));
            notifyAll();
        }

        synchronized boolean wasReset() {
            return reset;
        }

        synchronized Chunk take() throws InterruptedException {
            while (chunks.isEmpty()) {
                wait();
            }
            return chunks.poll();
        }
    }
}
