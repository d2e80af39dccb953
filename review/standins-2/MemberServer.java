import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A member of a service. Statements occupy a slot; more may wait for one, and those beyond get BUSY. */
final class MemberServer implements AutoCloseable {
    final String id;
    final String zone;
    final int slots;
    volatile long bornMillis = System.currentTimeMillis();
    final List<ReplicaGroup.Entry> log = new ArrayList<>();
    volatile boolean alive = true;
    volatile boolean primary;
    volatile boolean draining;
    /** Receives nothing of the primary's log while set. */
    volatile boolean deaf;
    /** Lives on, but nothing that is sent to it or by it arrives while set. */
    volatile boolean dark;
    volatile long term;
    volatile long workMillis = 2;
    int sequence;
    final AtomicLong statements = new AtomicLong();
    private final ReplicaGroup group;
    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Semaphore free;
    private final AtomicInteger waiting = new AtomicInteger();
    private final int queue;

    MemberServer(String id, String zone, ReplicaGroup group, int slots, int queue) throws IOException {
        this.id = id;
        this.zone = zone;
        this.group = group;
        this.slots = slots;
        this.queue = queue;
        this.free = new Semaphore(slots, true);
        this.listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Threads.start("member", this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    long lastNumber() {
        synchronized (group) {
            return log.isEmpty() ? 0 : log.get(log.size() - 1).number();
        }
    }

    private String position() {
        synchronized (group) {
            return log.isEmpty() ? "0.0" : log.get(log.size() - 1).term() + "." + log.get(log.size() - 1).number();
        }
    }

    private boolean hasReached(String position) {
        String[] parts = position.split("\\.");
        long wantedTerm = Long.parseLong(parts[0]);
        long wantedNumber = Long.parseLong(parts[1]);
        synchronized (group) {
            ReplicaGroup.Entry last = log.isEmpty() ? null : log.get(log.size() - 1);
            return wantedNumber == 0
                    || (last != null && (last.term() > wantedTerm || (last.term() == wantedTerm && last.number() >= wantedNumber)));
        }
    }

    int connections() {
        return sockets.size();
    }

    private void awaitLight() {
        while (dark) {
            Threads.sleep(10);
        }
    }

    void resetConnections() {
        sockets.forEach(MemberServer::reset);
    }

    void closeConnections() {
        try {
            listener.close();
        } catch (IOException ignored) {
            // It is closed already.
        }
        sockets.forEach(MemberServer::reset);
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException ignored) {
            // It is closed already.
        }
    }

    private void accept() {
        while (alive) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                Threads.start("member-connection", () -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        Connection connection = new Connection();
        try (socket) {
            BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1), 1 << 16);
            OutputStream out = socket.getOutputStream();
            for (String line = in.readLine(); line != null && !line.equals("TERMINATE"); line = in.readLine()) {
                StringBuilder answer = new StringBuilder();
                boolean keep = !dark && connection.handle(line, answer);
                if (!alive) {
                    return;
                }
                if (dark) {
                    awaitLight();
                    return;
                }
                out.write(answer.toString().getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
                if (!keep) {
                    return;
                }
            }
        } catch (IOException | RuntimeException ended) {
            // The connection ends, and what was not committed is rolled back.
        } finally {
            sockets.remove(socket);
        }
    }

    @Override
    public void close() {
        alive = false;
        closeConnections();
    }

    private final class Connection {
        private final Map<String, String> prepared = new HashMap<>();
        private final List<String[]> uncommitted = new ArrayList<>();
        private char state = 'I';

        boolean handle(String line, StringBuilder answer) {
            String[] words = line.split(" ", 3);
            if (words[0].equals("STARTUP")) {
                String[] rest = words[2].split(" ", 2);
                if (!words[1].equals(group.name) || (rest.length > 1 && !rest[1].equals(id))) {
                    answer.append("ERROR MOVED ").append(id).append("\r\n");
                    return false;
                }
                answer.append("READY I ").append(position()).append("\r\n");
                return true;
            }
            String error = run(words[1], words[2], answer);
            if (!error.isEmpty()) {
                answer.setLength(0);
                answer.append("ERROR ").append(error).append(' ').append(id).append("\r\n");
                if (state == 'T') {
                    state = 'E';
                }
            }
            answer.append("READY ").append(state).append(' ').append(position()).append("\r\n");
            return true;
        }

        private String run(String requestId, String text, StringBuilder answer) {
            String[] words = text.split(" ", 2);
            String rest = words.length > 1 ? words[1] : "";
            if (words[0].equals("WAITLSN")) {
                String[] parts = rest.split(" ", 2);
                return hasReached(parts[0]) ? run(requestId, parts[1], answer) : "LAGGING";
            }
            if (state == 'E' && !words[0].equals("ROLLBACK")) {
                return "MALFORMED";
            }
            switch (words[0]) {
                case "BEGIN" -> {
                    if (rest.isEmpty() && !primary) {
                        return "READONLY";
                    }
                    state = 'T';
                }
                case "ROLLBACK" -> {
                    state = 'I';
                    uncommitted.clear();
                }
                case "SET" -> {}
                case "DISCARD" -> prepared.clear();
                case "PREPARE" -> {
                    String[] parts = rest.split(" ", 2);
                    prepared.put(parts[0], parts[1].split(" ", 2)[0]);
                }
                case "STATUS" -> {
                    return inSlot(0, () -> {
                        status(answer);
                        return "";
                    }, answer);
                }
                case "STEPDOWN" -> {
                    group.stepDown(MemberServer.this, Long.parseLong(rest));
                    status(answer);
                }
                case "READ" -> {
                    return inSlot(workMillis, () -> read(rest, answer), answer) + complete(requestId, answer);
                }
                case "WRITE" -> {
                    return inSlot(workMillis, () -> write(requestId, rest), answer) + complete(requestId, answer);
                }
                case "EXECUTE" -> {
                    String[] parts = rest.split(" ", 2);
                    String kind = prepared.get(parts[0]);
                    if (kind == null) {
                        return "NOSTMT";
                    }
                    return inSlot(workMillis, () -> kind.equals("READ") ? read(parts[1], answer) : write(requestId, parts[1]), answer)
                            + complete(requestId, answer);
                }
                case "COMMIT" -> {
                    return inSlot(workMillis, () -> {
                        state = 'I';
                        List<String[]> writes = List.copyOf(uncommitted);
                        uncommitted.clear();
                        return writes.isEmpty() ? "" : commit(requestId, writes);
                    }, answer) + complete(requestId, answer);
                }
                default -> {
                    return "MALFORMED";
                }
            }
            answer.append("COMPLETE -\r\n");
            return "";
        }

        private void status(StringBuilder answer) {
            answer.append("DATAROW ").append(primary ? "primary" : "replica").append(' ').append(term).append(' ').append(position())
                    .append(" 0 0 ").append(slots - free.availablePermits()).append(' ').append(sockets.size()).append("\r\n");
        }

        private String complete(String requestId, StringBuilder answer) {
            if (answer.indexOf("COMPLETE") < 0) {
                answer.append("COMPLETE ").append(requestId.equals("-") ? "-" : id + "." + requestId).append("\r\n");
            }
            return "";
        }

        private String inSlot(long millis, java.util.function.Supplier<String> work, StringBuilder answer) {
            if (!free.tryAcquire()) {
                if (waiting.incrementAndGet() > queue) {
                    waiting.decrementAndGet();
                    return "BUSY";
                }
                free.acquireUninterruptibly();
                waiting.decrementAndGet();
            }
            try {
                statements.incrementAndGet();
                Threads.sleep(millis);
                return work.get();
            } finally {
                free.release();
            }
        }

        private String read(String item, StringBuilder answer) {
            String data = "none";
            synchronized (group) {
                for (ReplicaGroup.Entry entry : log) {
                    if (entry.item().equals(item)) {
                        data = entry.data();
                    }
                }
            }
            answer.append("DATAROW ").append(data).append("\r\n");
            return "";
        }

        private String write(String requestId, String itemAndData) {
            if (!primary) {
                return "READONLY";
            }
            String[] parts = itemAndData.split(" ", 2);
            String[] write = {parts[0], parts.length > 1 ? parts[1] : ""};
            if (state == 'T') {
                uncommitted.add(write);
                return "";
            }
            return commit(requestId, List.<String[]>of(write));
        }

        private String commit(String requestId, List<String[]> writes) {
            long number = group.append(MemberServer.this, requestId, writes);
            if (number < 0) {
                return "READONLY";
            }
            if (!group.awaitSynchronous(MemberServer.this, number)) {
                throw new IllegalStateException("crashed before the commit could be acknowledged");
            }
            group.recordAcknowledged(requestId);
            return "";
        }
    }
}
