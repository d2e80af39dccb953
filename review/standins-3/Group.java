import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A stand-in for one service: a primary and its replicas, which speak the line protocol on ports of their own, replicate
 * their logs and report themselves to the store. All state is guarded by the group.
 */
final class Group implements AutoCloseable {

    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final long EXPIRY_MILLIS = 3 * HEARTBEAT_MILLIS;
    private static final long STEP_MILLIS = 5;
    private static final long DEMOTION_MILLIS = 1_000;

    /** A commit: what it wrote, and which client's statements did. */
    record Entry(long term, long number, String writes, String ids) {}

    /** A member and its state. */
    final class Member {
        final String id;
        final String zone;
        final long born = System.currentTimeMillis();
        private final ServerSocket server;
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
        private final List<Entry> log = new ArrayList<>();
        private final List<Long> receivedNanos = new ArrayList<>();
        private boolean primary;
        private long term = 1;
        private boolean running = true;
        private boolean deaf;
        private boolean offStore;
        private String side = "";
        private long supersededNanos;
        private long lastBeatNanos;
        private boolean listed;
        private long sequence;

        private Member(String id, String zone) throws IOException {
            this.id = id;
            this.zone = zone;
            this.server = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }
    }

    final String service;
    private final Trace trace;
    private final Store store;
    private final long lagMillis;
    private final long promoteMillis;
    private final int synchronousReplicas;
    private final Map<String, Member> members = new LinkedHashMap<>();
    private volatile boolean closed;
    private volatile Faults faults = (member, statement) -> null;
    private volatile Observer observer = (member, id, statement, values) -> {};

    /** Decides which statements a member fails without running them. */
    @FunctionalInterface
    interface Faults {
        /** Returns the error code with which a statement fails, or null. */
        String errorOf(String member, String statement);
    }

    /** Is told of each statement of a client that a member runs, with the session values of the connection. */
    @FunctionalInterface
    interface Observer {
        void onRun(String member, String id, String statement, Map<String, String> values);
    }

    /**
     * Starts the members, the first as the primary.
     *
     * @param service the name of the service
     * @param zones the zone of each member, by its id
     * @param synchronousReplicas how many replicas receive a commit before it is acknowledged
     */
    Group(
            Trace trace,
            Store store,
            String service,
            Map<String, String> zones,
            long lagMillis,
            long promoteMillis,
            int synchronousReplicas)
            throws IOException {
        this.trace = trace;
        this.store = store;
        this.service = service;
        this.lagMillis = lagMillis;
        this.promoteMillis = promoteMillis;
        this.synchronousReplicas = synchronousReplicas;
        for (Map.Entry<String, String> zone : zones.entrySet()) {
            Member member = new Member(zone.getKey(), zone.getValue());
            member.primary = members.isEmpty();
            members.put(member.id, member);
            start(() -> accept(member));
        }
        start(this::run);
    }

    Member member(String id) {
        return members.get(id);
    }

    /** Returns the id of a running primary of the newest term. */
    synchronized String primary() {
        Member leader = leader(null);
        return leader == null ? "" : leader.id;
    }

    synchronized boolean isPrimary(String id) {
        return members.get(id).primary;
    }

    /** Returns whether the log of a member contains the commit of a statement. */
    synchronized boolean holds(String id, String statementId) {
        return members.get(id).log.stream().anyMatch(entry -> entry.ids().contains(statementId));
    }

    void faults(Faults value) {
        faults = value;
    }

    void observer(Observer value) {
        observer = value;
    }

    /** Sets on which side of a partition a member is. Members of unlike sides do not reach each other. */
    synchronized void side(String id, String value) {
        members.get(id).side = value;
    }

    /** Cuts a member off from the store, which then hears no heartbeat of it. */
    synchronized void offStore(String id, boolean value) {
        members.get(id).offStore = value;
        trace.line(id, value ? "cut off from the store" : "reaches the store again");
    }

    /** Makes a replica receive nothing. */
    synchronized void deaf(String id, boolean value) {
        members.get(id).deaf = value;
        trace.line(id, value ? "receives nothing" : "receives again");
    }

    /** Makes a member crash: its connections end and it says nothing. It keeps its log. */
    void crash(String id) {
        Member member = members.get(id);
        synchronized (this) {
            member.running = false;
            notifyAll();
        }
        trace.line(id, "crashes");
        closeQuietly(member.server);
        member.sockets.forEach(Group::closeQuietly);
    }

    /** Executes a promotion; returns the status of the answer. */
    int promote(String id) {
        Member member = members.get(id);
        synchronized (this) {
            if (member == null || !member.running) {
                return 409;
            }
            if (member.primary && leader(null) == member) {
                return 200;
            }
        }
        start(() -> {
            sleep(promoteMillis);
            synchronized (this) {
                member.term = members.values().stream().mapToLong(other -> other.term).max().orElse(1) + 1;
                member.primary = true;
                trace.line(id, "leads term " + member.term + " from " + position(member));
                report(member);
            }
        });
        return 200;
    }

    @Override
    public void close() {
        closed = true;
        members.values().forEach(member -> {
            closeQuietly(member.server);
            member.sockets.forEach(Group::closeQuietly);
        });
    }

    /** Returns the running primary of the newest term that a member reaches; null stands for an observer of all. */
    private Member leader(Member from) {
        Member newest = null;
        for (Member member : members.values()) {
            boolean reached = from == null || from.side.equals(member.side);
            if (member.primary && member.running && reached && (newest == null || member.term > newest.term)) {
                newest = member;
            }
        }
        return newest;
    }

    private void run() {
        while (!closed) {
            sleep(STEP_MILLIS);
            synchronized (this) {
                members.values().forEach(this::replicate);
                members.values().forEach(this::beat);
                notifyAll();
            }
        }
    }

    private void replicate(Member member) {
        Member leader = member.running ? leader(member) : null;
        if (leader == null || leader == member || leader.term < member.term) {
            return;
        }
        if (member.primary) {
            // An old primary goes on until a second after it can reach the new one.
            member.supersededNanos = member.supersededNanos == 0 ? System.nanoTime() : member.supersededNanos;
            if (System.nanoTime() - member.supersededNanos < DEMOTION_MILLIS * 1_000_000) {
                return;
            }
            member.primary = false;
            member.supersededNanos = 0;
            trace.line(member.id, "is a replica now");
            report(member);
        }
        if (member.deaf) {
            return;
        }
        member.term = leader.term;
        int common = 0;
        while (common < member.log.size()
                && common < leader.log.size()
                && member.log.get(common).equals(leader.log.get(common))) {
            common++;
        }
        while (member.log.size() > common) {
            Entry lost = member.log.remove(member.log.size() - 1);
            member.receivedNanos.remove(member.receivedNanos.size() - 1);
            trace.line(member.id, "rolls back " + lost);
        }
        for (int next = common; next < leader.log.size(); next++) {
            member.log.add(leader.log.get(next));
            member.receivedNanos.add(System.nanoTime());
        }
    }

    private void beat(Member member) {
        long now = System.nanoTime();
        boolean speaks = member.running && !member.offStore;
        if (speaks && (!member.listed || now - member.lastBeatNanos >= HEARTBEAT_MILLIS * 1_000_000)) {
            report(member);
        } else if (!speaks && member.listed && now - member.lastBeatNanos >= EXPIRY_MILLIS * 1_000_000) {
            member.listed = false;
            store.remove("servers/" + member.id);
        }
    }

    private void report(Member member) {
        if (!member.running || member.offStore) {
            return;
        }
        member.listed = true;
        member.lastBeatNanos = System.nanoTime();
        store.put(
                "servers/" + member.id,
                "{\"backend\":\"" + service + "\",\"address\":\"" + member.address() + "\",\"zone\":\"" + member.zone
                        + "\",\"version\":\"v1\",\"slots\":3,\"state\":\"ready\",\"warmup_left_ms\":0,\"seq\":"
                        + ++member.sequence + ",\"born\":" + member.born + ",\"db_role\":\""
                        + (member.primary ? "primary" : "replica") + "\"}");
    }

    /** Returns how many entries a member has applied; a replica applies them later than it receives them. */
    private int applied(Member member) {
        if (member.primary) {
            return member.log.size();
        }
        int count = member.log.size();
        while (count > 0 && System.nanoTime() - member.receivedNanos.get(count - 1) < lagMillis * 1_000_000) {
            count--;
        }
        return count;
    }

    private static String position(Member member) {
        return position(member, member.log.size());
    }

    private static String position(Member member, int entries) {
        return entries == 0 ? "1.0" : member.log.get(entries - 1).term() + "." + member.log.get(entries - 1).number();
    }

    private void accept(Member member) {
        while (!closed) {
            try {
                Socket socket = member.server.accept();
                member.sockets.add(socket);
                start(() -> new Session(member, socket).serve());
            } catch (IOException exception) {
                return;
            }
        }
    }

    private boolean commit(Member member, List<String> writes, List<String> ids) throws InterruptedException {
        synchronized (this) {
            if (!member.primary || !member.running) {
                return false;
            }
            Entry entry =
                    new Entry(member.term, member.log.size() + 1, String.join(";", writes), String.join(";", ids));
            member.log.add(entry);
            member.receivedNanos.add(System.nanoTime());
            trace.line(member.id, "commits " + entry.term() + "." + entry.number() + " " + entry.writes() + " of "
                    + entry.ids());
            while (!hasEnoughHolders(member, entry)) {
                if (!member.running || closed) {
                    throw new InterruptedException("the member has stopped");
                }
                wait(100);
            }
            return true;
        }
    }

    private boolean hasEnoughHolders(Member member, Entry entry) {
        return members.values().stream()
                        .filter(other -> other != member && other.log.contains(entry))
                        .count()
                >= synchronousReplicas;
    }

    /** One connection to a member. */
    private final class Session {
        private final Member member;
        private final Socket socket;
        private final Map<String, String> values = new LinkedHashMap<>();
        private final Map<String, String> prepared = new LinkedHashMap<>();
        private final List<String> writes = new ArrayList<>();
        private final List<String> ids = new ArrayList<>();
        private String state = "I";
        private boolean readOnly;
        private String tenant = "";
        private long signatures;

        private Session(Member member, Socket socket) {
            this.member = member;
            this.socket = socket;
        }

        private void serve() {
            try (socket) {
                socket.setTcpNoDelay(true);
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
                OutputStream out = socket.getOutputStream();
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    if (line.equals("TERMINATE") || !member.running) {
                        break;
                    }
                    StringBuilder answer = new StringBuilder();
                    boolean open = handle(line, answer);
                    if (!member.running) {
                        break;
                    }
                    out.write(answer.toString().getBytes(StandardCharsets.ISO_8859_1));
                    out.flush();
                    if (!open) {
                        break;
                    }
                }
            } catch (IOException | InterruptedException exception) {
                // The connection or the member has ended; what is not committed is rolled back.
            } finally {
                member.sockets.remove(socket);
            }
        }

        private boolean handle(String line, StringBuilder answer) throws InterruptedException {
            String[] words = line.split(" ", 3);
            if (words[0].equals("STARTUP")) {
                String[] identity = words[2].split(" ", 2);
                tenant = identity[0];
                if (!words[1].equals(service) || (identity.length > 1 && !identity[1].equals(member.id))) {
                    answer.append("ERROR MOVED ").append(member.id).append("\r\n");
                    return false;
                }
                sleep(2);
                ready(answer);
                return true;
            }
            String id = words[1];
            String text = words[2];
            String failure = faults.errorOf(member.id, text);
            if (failure == null && !id.equals("-")) {
                observer.onRun(member.id, id, text, Map.copyOf(values));
            }
            String error = failure != null ? failure : run(id, text, answer);
            if (failure != null || !id.equals("-")) {
                trace.line(member.id, "gets from tenant " + tenant + ": " + line + " -> "
                        + (error.isEmpty() ? "done" : error) + ", values " + values + ", state " + state);
            }
            if (!error.isEmpty()) {
                answer.setLength(0);
                answer.append("ERROR ").append(error).append(' ').append(member.id).append("\r\n");
                state = state.equals("T") ? "E" : state;
            }
            ready(answer);
            return true;
        }

        private String run(String id, String statement, StringBuilder answer) throws InterruptedException {
            String[] words = statement.split(" ", 2);
            String rest = words.length > 1 ? words[1] : "";
            if (words[0].equals("WAITLSN")) {
                String[] parts = rest.split(" ", 2);
                synchronized (Group.this) {
                    if (!covers(parts[0])) {
                        return "LAGGING";
                    }
                }
                return run(id, parts[1], answer);
            }
            if (state.equals("E") && !words[0].equals("ROLLBACK")) {
                return "MALFORMED";
            }
            boolean plain = state.equals("T") && !readOnly;
            synchronized (Group.this) {
                boolean writing = !writes.isEmpty();
                boolean needsLead = words[0].equals("READ") || words[0].equals("EXECUTE") || words[0].equals("WRITE")
                        || (words[0].equals("COMMIT") && writing);
                if (plain && needsLead && !member.primary) {
                    return "READONLY";
                }
            }
            switch (words[0]) {
                case "BEGIN":
                    readOnly = rest.equals("READ");
                    if (!readOnly && !isPrimary(member.id)) {
                        return "READONLY";
                    }
                    state = "T";
                    break;
                case "ROLLBACK":
                    end();
                    break;
                case "COMMIT":
                    sleep(2);
                    if (!writes.isEmpty()) {
                        ids.add(id);
                        boolean done = commit(member, List.copyOf(writes), List.copyOf(ids));
                        end();
                        if (!done) {
                            return "READONLY";
                        }
                    }
                    end();
                    break;
                case "SET":
                    String[] pair = rest.split(" ", 2);
                    values.put(pair[0], pair[1]);
                    break;
                case "DISCARD":
                    values.clear();
                    prepared.clear();
                    break;
                case "PREPARE":
                    String[] shape = rest.split(" ", 2);
                    prepared.put(shape[0], shape[1]);
                    break;
                case "EXECUTE":
                    String[] parts = rest.split(" ", 2);
                    String kind = prepared.get(parts[0]);
                    if (kind == null) {
                        return "NOSTMT";
                    }
                    return run(id, kind.split(" ", 2)[0] + " " + parts[1], answer);
                case "STATUS":
                    status(answer);
                    break;
                case "STEPDOWN":
                    stepDown(Long.parseLong(rest));
                    status(answer);
                    break;
                case "READ":
                    sleep(2);
                    answer.append("DATAROW ").append(read(rest)).append("\r\n");
                    break;
                case "WRITE":
                    sleep(2);
                    if (!isPrimary(member.id)) {
                        return "READONLY";
                    }
                    writes.add(rest);
                    ids.add(id);
                    if (state.equals("I")) {
                        boolean done = commit(member, List.copyOf(writes), List.copyOf(ids));
                        end();
                        if (!done) {
                            return "READONLY";
                        }
                    }
                    break;
                default:
                    return "MALFORMED";
            }
            answer.append("COMPLETE ")
                    .append(id.equals("-") ? "-" : member.id + "." + ++signatures + "." + id)
                    .append("\r\n");
            return "";
        }

        private void end() {
            state = "I";
            writes.clear();
            ids.clear();
        }

        private boolean covers(String position) {
            String[] parts = position.split("\\.");
            long term = Long.parseLong(parts[0]);
            long number = Long.parseLong(parts[1]);
            int applied = applied(member);
            if (number == 0) {
                return true;
            }
            return applied >= number && member.log.get((int) number - 1).term() >= term;
        }

        private String read(String item) {
            synchronized (Group.this) {
                String found = "-";
                int applied = applied(member);
                List<String> all = new ArrayList<>();
                member.log.subList(0, applied).forEach(entry -> all.addAll(List.of(entry.writes().split(";"))));
                all.addAll(writes);
                for (String write : all) {
                    String[] pair = write.split(" ", 2);
                    if (pair[0].equals(item)) {
                        found = pair[1];
                    }
                }
                return found;
            }
        }

        private void status(StringBuilder answer) {
            synchronized (Group.this) {
                answer.append("DATAROW ")
                        .append(member.primary ? "primary " : "replica ")
                        .append(member.term)
                        .append(' ')
                        .append(position(member))
                        .append(" 0 0 0 ")
                        .append(member.sockets.size())
                        .append("\r\n");
            }
        }

        private void stepDown(long term) {
            synchronized (Group.this) {
                if (member.primary && member.term < term) {
                    member.primary = false;
                    trace.line(member.id, "steps down for term " + term);
                    report(member);
                }
            }
        }

        private void ready(StringBuilder answer) {
            synchronized (Group.this) {
                answer.append("READY ")
                        .append(state)
                        .append(' ')
                        .append(position(member, applied(member)))
                        .append("\r\n");
            }
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "member");
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
