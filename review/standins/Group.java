import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** A service of members that speak the wire of PROTOCOL.md, replicate their log and report to the store. */
final class Group implements AutoCloseable {
    private static final long WORK_MILLIS = 5;
    private static final long EXTRACT_WORK_MILLIS = 300;
    private static final long HANDSHAKE_MILLIS = 12;
    private static final long REPLICATION_MILLIS = 30;
    private static final long PROMOTE_MILLIS = 300;
    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final long OLD_PRIMARY_MILLIS = 1_000;
    private static final long DRAIN_MILLIS = 12_000;

    /** A read of an item with this name and a number returns so many rows of a kilobyte. */
    static final String EXTRACT = "extract";

    private static final String EXTRACT_ROW = "x".repeat(1_000);

    /** Of the members that are given, so many run from the start; the others replace them later. */
    private static final int FIRST_MEMBERS = 3;

    final String name;
    final List<Member> members = new ArrayList<>();
    /** Every statement with an id that a member ran, and every commit. */
    final List<Run> runs = new ArrayList<>();
    /** The promotions that have taken effect. */
    final List<Led> led = new ArrayList<>();

    private final Store store;
    private final Journal journal;
    private long newestTerm = 1;
    private volatile boolean closed;

    /** A statement that a member ran, with the number of the connection's transaction and its state before. */
    record Run(
            double at,
            String member,
            int connection,
            int transaction,
            String id,
            String text,
            String state,
            long term,
            boolean old) {}

    record Led(double at, String member, long term) {}

    private record Entry(long term, String text, long nanos) {}

    /** The member's view of the network to another one. */
    interface Reach {
        boolean between(Member one, Member other);
    }

    private volatile Reach reach = (one, other) -> true;

    Group(String name, List<String> zones, Store store, Journal journal) throws IOException {
        this.name = name;
        this.store = store;
        this.journal = journal;
        for (int number = 0; number < zones.size(); number++) {
            members.add(new Member("i-" + name + "-" + number, zones.get(number), number == 0));
            members.get(number).started = number < FIRST_MEMBERS;
        }
        members.forEach(Member::report);
        Link.start("replication", this::replicate);
        Link.start("heartbeats", this::beat);
    }

    void reach(Reach value) {
        reach = value;
    }

    synchronized Member primary() {
        return members.stream()
                .filter(member -> member.primary && member.term == newestTerm)
                .findFirst()
                .orElse(null);
    }

    /** The platform's promotion of a member; returns the status of the answer. */
    synchronized int promote(String id) {
        Member chosen = members.stream()
                .filter(member -> member.id.equals(id))
                .findFirst()
                .orElse(null);
        if (chosen == null || chosen.dark || !chosen.started || chosen.left) {
            return 409;
        }
        if (chosen.primary && chosen.term == newestTerm || chosen.beingPromoted) {
            return 200;
        }
        chosen.beingPromoted = true;
        Link.start("promote", () -> {
            sleep(PROMOTE_MILLIS);
            synchronized (this) {
                newestTerm++;
                chosen.term = newestTerm;
                chosen.primary = true;
                chosen.beingPromoted = false;
                led.add(new Led(journal.seconds(), chosen.id, newestTerm));
                journal.line(chosen.id, "leads term " + newestTerm + " at " + chosen.position());
            }
            chosen.report();
        });
        return 200;
    }

    /**
     * Replaces a member: the new one starts, and when it has the log, the old one reports that it drains. It goes on
     * serving, and ends later.
     */
    void release(Member old, Member replacement) {
        journal.line(replacement.id, "starts");
        replacement.started = true;
        replacement.report();
        sleep(1_000);
        journal.line(old.id, "drains");
        old.draining = true;
        old.report();
        Link.start("leave", () -> {
            sleep(DRAIN_MILLIS);
            if (!closed) {
                journal.line(old.id, "ends");
                old.left = true;
                store.remove("servers/" + old.id);
                old.dropConnections();
            }
        });
    }

    /** Takes a member off the network without a reset; it comes back with its log, its connections lost. */
    void dark(Member member, boolean value) {
        synchronized (this) {
            member.dark = value;
            member.darkSinceNanos = System.nanoTime();
            journal.line(member.id, value ? "goes dark at " + member.position() : "is back at " + member.position());
            if (!value && member.term < newestTerm) {
                member.primary = false;
            }
        }
        if (!value) {
            member.dropConnections();
            member.report();
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        for (Member member : members) {
            member.listener.close();
            member.dropConnections();
        }
    }

    private void replicate() {
        while (!closed) {
            List<Member> reports = new ArrayList<>();
            synchronized (this) {
                Member leader = primary();
                for (Member member : leader == null || leader.dark ? List.<Member>of() : members) {
                    if (member == leader
                            || member.dark
                            || !member.started
                            || member.left
                            || !reach.between(leader, member)) {
                        member.reachedNewerSince = 0;
                        continue;
                    }
                    if (member.primary) {
                        long now = System.nanoTime();
                        member.reachedNewerSince = member.reachedNewerSince == 0 ? now : member.reachedNewerSince;
                        if (now - member.reachedNewerSince < OLD_PRIMARY_MILLIS * 1_000_000) {
                            continue;
                        }
                        member.primary = false;
                        journal.line(member.id, "ends its lead of term " + member.term);
                        reports.add(member);
                    }
                    copyLog(leader, member);
                }
            }
            reports.forEach(Member::report);
            sleep(5);
        }
    }

    private void copyLog(Member leader, Member member) {
        int common = 0;
        while (common < member.log.size()
                && common < leader.log.size()
                && member.log.get(common) == leader.log.get(common)) {
            common++;
        }
        while (member.log.size() > common) {
            Entry removed = member.log.remove(member.log.size() - 1);
            journal.line(member.id, "rolls back " + removed.text());
        }
        long until = System.nanoTime() - REPLICATION_MILLIS * 1_000_000;
        while (member.log.size() < leader.log.size()
                && leader.log.get(member.log.size()).nanos() - until <= 0) {
            member.log.add(leader.log.get(member.log.size()));
        }
        member.term = leader.term;
    }

    private void beat() {
        while (!closed) {
            for (Member member : members) {
                if (!member.dark) {
                    member.report();
                } else if (System.nanoTime() - member.darkSinceNanos > 3 * HEARTBEAT_MILLIS * 1_000_000) {
                    store.remove("servers/" + member.id);
                }
            }
            sleep(HEARTBEAT_MILLIS);
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    final class Member {
        final String id;
        final String zone;
        final ServerSocket listener;
        private final List<Entry> log = new ArrayList<>();
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
        private final long born = System.currentTimeMillis();
        private int connectionCount;
        private long sequence;
        volatile boolean dark;
        private volatile long darkSinceNanos;
        private volatile boolean started;
        private volatile boolean draining;
        private volatile boolean left;
        private boolean beingPromoted;
        private boolean primary;
        private long term = 1;
        private long reachedNewerSince;

        Member(String id, String zone, boolean primary) throws IOException {
            this.id = id;
            this.zone = zone;
            this.primary = primary;
            this.listener = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
            for (int number = 0; number < 10; number++) {
                log.add(SEED.get(number));
            }
            Link.start("member", this::accept);
        }

        InetSocketAddress address() {
            return new InetSocketAddress("127.0.0.1", listener.getLocalPort());
        }

        void dropConnections() {
            for (Socket socket : sockets) {
                try {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } catch (IOException exception) {
                    // It is closed already.
                }
            }
        }

        private String position() {
            Entry last = log.get(log.size() - 1);
            return last.term() + "." + log.size();
        }

        private void report() {
            String text;
            synchronized (Group.this) {
                if (dark || !started || left) {
                    return;
                }
                text = "{\"backend\":\"" + name + "\",\"address\":\"127.0.0.1:" + listener.getLocalPort()
                        + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":3,\"state\":\""
                        + (draining ? "draining" : "ready") + "\","
                        + "\"warmup_left_ms\":0,\"db_role\":\"" + (primary ? "primary" : "replica") + "\",\"seq\":"
                        + ++sequence + ",\"born\":" + born + "}";
            }
            store.put("servers/" + id, text);
        }

        private void accept() {
            while (!closed) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                    int number = ++connectionCount;
                    Link.start("serve", () -> serve(socket, number));
                } catch (IOException exception) {
                    return;
                }
            }
        }

        private void serve(Socket socket, int number) {
            try (socket) {
                LineReader in = new LineReader(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                Connection connection = new Connection(number);
                for (String line = in.readLine(); line != null && !line.equals("TERMINATE"); line = in.readLine()) {
                    StringBuilder answer = new StringBuilder();
                    boolean open = connection.handle(line, answer);
                    out.write(answer.toString().getBytes(StandardCharsets.ISO_8859_1));
                    out.flush();
                    if (!open) {
                        return;
                    }
                }
            } catch (IOException exception) {
                // The connection has ended; what it had not committed is rolled back.
            } finally {
                sockets.remove(socket);
            }
        }

        /** One connection: its transaction, values and prepared names. */
        private final class Connection {
            private final int number;
            private final Map<String, String> values = new LinkedHashMap<>();
            private final Map<String, String> prepared = new HashMap<>();
            private final List<String> writes = new ArrayList<>();
            private String state = "I";
            private boolean plain;
            private int transaction;

            Connection(int number) {
                this.number = number;
            }

            boolean handle(String line, StringBuilder answer) {
                String[] words = line.split(" ", 3);
                if (words[0].equals("STARTUP")) {
                    sleep(HANDSHAKE_MILLIS);
                    String[] who = words[2].split(" ");
                    if (!words[1].equals(name) || (who.length > 1 && !who[1].equals(id))) {
                        answer.append("ERROR MOVED " + id + "\r\n");
                        return false;
                    }
                } else {
                    String error = run(words[1], words[2], answer);
                    if (!error.isEmpty()) {
                        answer.append("ERROR " + error + " " + id + "\r\n");
                        state = state.equals("T") ? "E" : state;
                    }
                }
                synchronized (Group.this) {
                    answer.append("READY " + state + " " + position() + "\r\n");
                }
                return true;
            }

            private String run(String id, String text, StringBuilder answer) {
                if (text.startsWith("WAITLSN ")) {
                    String[] words = text.split(" ", 3);
                    String[] wanted = words[1].split("\\.");
                    int entry = Integer.parseInt(wanted[1]);
                    synchronized (Group.this) {
                        if (entry > log.size()
                                || entry > 0 && log.get(entry - 1).term() != Long.parseLong(wanted[0])) {
                            return "LAGGING";
                        }
                    }
                    return run(id, words[2], answer);
                }
                String[] words = text.split(" ", 2);
                String rest = words.length > 1 ? words[1] : "";
                if (state.equals("E") && !words[0].equals("ROLLBACK")) {
                    return "MALFORMED";
                }
                switch (words[0]) {
                    case "BEGIN":
                        synchronized (Group.this) {
                            if (!state.equals("I")) {
                                return "MALFORMED";
                            }
                            if (rest.isEmpty() && !primary) {
                                return "READONLY";
                            }
                        }
                        plain = rest.isEmpty();
                        state = "T";
                        transaction++;
                        answer.append("COMPLETE -\r\n");
                        return "";
                    case "ROLLBACK":
                        if (state.equals("I")) {
                            return "MALFORMED";
                        }
                        if (state.equals("T") && !writes.isEmpty()) {
                            journal.line(Member.this.id, "conn " + number + " rolls back " + writes);
                        }
                        state = "I";
                        writes.clear();
                        answer.append("COMPLETE -\r\n");
                        return "";
                    case "SET":
                        String[] pair = rest.split(" ", 2);
                        values.put(pair[0], pair.length > 1 ? pair[1] : "");
                        answer.append("COMPLETE -\r\n");
                        return "";
                    case "PREPARE":
                        String[] named = rest.split(" ", 2);
                        prepared.put(named[0], named[1]);
                        answer.append("COMPLETE -\r\n");
                        return "";
                    case "DEALLOC":
                        prepared.remove(rest);
                        answer.append("COMPLETE -\r\n");
                        return "";
                    case "DISCARD":
                        values.clear();
                        prepared.clear();
                        answer.append("COMPLETE -\r\n");
                        return "";
                    case "STATUS":
                    case "STEPDOWN":
                        boolean stepsDown = false;
                        synchronized (Group.this) {
                            if (words[0].equals("STEPDOWN") && primary && Long.parseLong(rest) > term) {
                                primary = false;
                                stepsDown = true;
                                journal.line(Member.this.id, "steps down");
                            }
                            answer.append("DATAROW " + (primary ? "primary" : "replica") + " " + term + " " + position()
                                    + " 0 0 0 " + sockets.size() + "\r\nCOMPLETE -\r\n");
                        }
                        if (stepsDown) {
                            report();
                        }
                        return "";
                    default:
                        return runClientStatement(id, words[0], rest, text, answer);
                }
            }

            private String runClientStatement(
                    String id, String word, String rest, String text, StringBuilder answer) {
                boolean extract = word.equals("READ") && rest.startsWith(EXTRACT);
                sleep(extract ? EXTRACT_WORK_MILLIS : WORK_MILLIS);
                String kind = word;
                if (word.equals("EXECUTE")) {
                    String shape = prepared.get(rest.split(" ", 2)[0]);
                    if (shape == null) {
                        return "NOSTMT";
                    }
                    kind = shape.split(" ", 2)[0];
                }
                synchronized (Group.this) {
                    boolean emptyCommit = kind.equals("COMMIT") && writes.isEmpty();
                    boolean needsLead = kind.equals("WRITE") || (state.equals("T") && plain);
                    if (needsLead && !primary && !emptyCommit) {
                        return "READONLY";
                    }
                    switch (kind) {
                        case "READ":
                            if (extract) {
                                appendExtract(Integer.parseInt(rest.substring(EXTRACT.length())), answer);
                            } else {
                                answer.append("DATAROW " + read(rest) + "\r\n");
                            }
                            break;
                        case "WRITE":
                            writes.add(id + " " + text);
                            if (state.equals("I")) {
                                commit();
                            }
                            break;
                        case "COMMIT":
                            if (!state.equals("T")) {
                                return "MALFORMED";
                            }
                            commit();
                            break;
                        default:
                            return "MALFORMED";
                    }
                    boolean old = term < newestTerm;
                    runs.add(new Run(
                            journal.seconds(), Member.this.id, number, transaction, id, text, state, term, old));
                    journal.line(
                            Member.this.id,
                            "conn " + number + " state " + state + " runs " + id + " " + text
                                    + (old ? " in old term " + term : ""));
                    if (kind.equals("COMMIT")) {
                        state = "I";
                    }
                }
                answer.append("COMPLETE " + Long.toHexString(ThreadLocalRandom.current().nextLong()) + "\r\n");
                return "";
            }

            private void appendExtract(int rows, StringBuilder answer) {
                for (int row = 0; row < rows; row++) {
                    answer.append("DATAROW ").append(row).append(' ').append(EXTRACT_ROW).append("\r\n");
                }
            }

            private String read(String item) {
                String wanted = "WRITE " + item + " ";
                String data = "-";
                for (Entry entry : log) {
                    int found = entry.text().indexOf(wanted);
                    if (found >= 0) {
                        data = entry.text().substring(found + wanted.length());
                    }
                }
                return data;
            }

            private void commit() {
                for (String write : writes) {
                    log.add(new Entry(term, write, System.nanoTime()));
                }
                writes.clear();
            }
        }
    }

    private static final List<Entry> SEED = new ArrayList<>();

    static {
        for (int number = 0; number < 10; number++) {
            SEED.add(new Entry(1, "seed WRITE s" + number + " seed", System.nanoTime()));
        }
    }
}
