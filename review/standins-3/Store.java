import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.BiFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stand-in for the platform's metadata store. Each daemon reaches it on a port of its own, so that single daemons can
 * be partitioned from it, and can be shown the addresses of relays in place of the real ones. Thread-safe.
 */
final class Store implements AutoCloseable {

    private static final int PAGE_ITEMS = 500;

    private record Item(byte[] value, long revision, long created, long lease) {}

    private record Change(String key, long revision, byte[] value, long lease, long atNanos) {}

    private static final class Lease {
        private final long ttlMillis;
        private long expiryNanos;

        private Lease(long ttlMillis) {
            this.ttlMillis = ttlMillis;
            renew();
        }

        private void renew() {
            expiryNanos = System.nanoTime() + ttlMillis * 1_000_000;
        }
    }

    private final Trace trace;
    private final long historyMillis;
    private final BiFunction<String, String, String> rewrite;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Set<String> partitioned = new HashSet<>();
    private final List<HttpServer> servers = new ArrayList<>();
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "store");
        thread.setDaemon(true);
        return thread;
    });
    private long revision = 100;
    private long oldestRevision = 100;
    private long lastLease = 1_000;

    /**
     * Creates an empty store.
     *
     * @param trace receives a line for each change
     * @param historyMillis how long changes can be watched
     * @param rewrite returns the text that a daemon reads, given its name and the text that is stored
     */
    Store(Trace trace, long historyMillis, BiFunction<String, String, String> rewrite) {
        this.trace = trace;
        this.historyMillis = historyMillis;
        this.rewrite = rewrite;
        Thread expiry = new Thread(this::expire, "store-expiry");
        expiry.setDaemon(true);
        expiry.start();
    }

    /** Opens the port of a daemon and returns its address. */
    String open(String daemon) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
        server.setExecutor(threads);
        server.createContext("/", exchange -> serve(daemon, exchange));
        server.start();
        servers.add(server);
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Partitions a daemon from the store: its calls have no effect and get no answer. */
    synchronized void partition(String daemon, boolean value) {
        if (value) {
            partitioned.add(daemon);
        } else {
            partitioned.remove(daemon);
        }
        notifyAll();
    }

    /** Writes a record as the operator and the members do; returns its revision. */
    synchronized long put(String key, String value) {
        write(key, value.getBytes(StandardCharsets.UTF_8), 0);
        return revision;
    }

    /** Removes a record. */
    synchronized void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            changes.add(new Change(key, revision, null, 0, System.nanoTime()));
            if (!key.startsWith("servers/")) {
                trace.line("store", "rev " + revision + " removed " + key);
            } else {
                trace.line("store", "rev " + revision + " entry ended " + key);
            }
            notifyAll();
        }
    }

    /** Returns the text of a record, or an empty text. */
    synchronized String text(String key) {
        Item item = items.get(key);
        return item == null ? "" : new String(item.value(), StandardCharsets.UTF_8);
    }

    /** Returns the keys with a prefix. */
    synchronized List<String> keys(String prefix) {
        return items.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    @Override
    public void close() {
        servers.forEach(server -> server.stop(0));
        threads.shutdownNow();
    }

    private void write(String key, byte[] value, long lease) {
        Item before = items.get(key);
        revision++;
        items.put(key, new Item(value, revision, before == null ? revision : before.created(), lease));
        changes.add(new Change(key, revision, value, lease, System.nanoTime()));
        if (key.startsWith("banyanhook/")) {
            trace.line("store", "rev " + revision + " " + key + " = " + new String(value, StandardCharsets.UTF_8)
                    + " lease " + lease);
        }
        notifyAll();
    }

    private void expire() {
        while (true) {
            try {
                Thread.sleep(20);
            } catch (InterruptedException exception) {
                return;
            }
            synchronized (this) {
                long now = System.nanoTime();
                for (long id : List.copyOf(leases.keySet())) {
                    if (now - leases.get(id).expiryNanos >= 0) {
                        endLease(id);
                    }
                }
                while (!changes.isEmpty() && now - changes.get(0).atNanos() > historyMillis * 1_000_000) {
                    oldestRevision = changes.remove(0).revision();
                }
            }
        }
    }

    private boolean endLease(long id) {
        if (leases.remove(id) == null) {
            return false;
        }
        for (String key : List.copyOf(items.keySet())) {
            if (items.get(key).lease() == id) {
                remove(key);
            }
        }
        return true;
    }

    private void serve(String daemon, HttpExchange exchange) throws IOException {
        try {
            byte[] body = exchange.getRequestBody().readAllBytes();
            if (waitsBehindPartition(daemon)) {
                exchange.close();
                return;
            }
            String[] answer = answer(daemon, exchange, new String(body, StandardCharsets.UTF_8));
            if (answer == null || waitsBehindPartition(daemon)) {
                exchange.close();
                return;
            }
            byte[] bytes = answer[1].getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(Integer.parseInt(answer[0]), bytes.length == 0 ? -1 : bytes.length);
            if (bytes.length > 0) {
                exchange.getResponseBody().write(bytes);
            }
            exchange.close();
        } catch (InterruptedException exception) {
            exchange.close();
        }
    }

    /** Returns whether the daemon was partitioned; waits then until it is not any more. */
    private synchronized boolean waitsBehindPartition(String daemon) throws InterruptedException {
        boolean waited = false;
        while (partitioned.contains(daemon)) {
            waited = true;
            wait(1_000);
        }
        return waited;
    }

    private String[] answer(String daemon, HttpExchange exchange, String body) throws InterruptedException {
        String path = exchange.getRequestURI().getRawPath();
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        if (path.equals("/api/kv-watch")) {
            return watch(daemon, query);
        }
        synchronized (this) {
            switch (path) {
                case "/api/kv-range":
                    return range(daemon, query);
                case "/api/kv-key":
                    Item item = items.get(query.get("key"));
                    return item == null ? status(404) : ok(json(daemon, query.get("key"), item));
                case "/api/kv-txn":
                    return transact(body);
                case "/api/kv-lease":
                    long id = ++lastLease;
                    long ttl = number(body, "ttl_ms");
                    leases.put(id, new Lease(ttl));
                    return ok("{\"lease\":" + id + ",\"ttl_ms\":" + ttl + "}");
                default:
                    return path.startsWith("/api/kv-keep/") || path.startsWith("/api/kv-lease-end/")
                            ? changeLease(path)
                            : status(404);
            }
        }
    }

    private String[] changeLease(String path) {
        long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        if (path.startsWith("/api/kv-lease-end/")) {
            return endLease(id) ? ok("{}") : status(404);
        }
        Lease lease = leases.get(id);
        if (lease == null) {
            return status(404);
        }
        lease.renew();
        return ok("{\"lease\":" + id + ",\"ttl_ms\":" + lease.ttlMillis + "}");
    }

    private String[] range(String daemon, Map<String, String> query) {
        String prefix = query.getOrDefault("prefix", "");
        StringBuilder found = new StringBuilder();
        int count = 0;
        boolean truncated = false;
        int bytes = 0;
        for (Map.Entry<String, Item> entry :
                items.tailMap(query.getOrDefault("after", ""), false).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                continue;
            }
            if (count == PAGE_ITEMS || (count > 0 && bytes + entry.getValue().value().length > 1_000_000)) {
                truncated = true;
                break;
            }
            found.append(count++ == 0 ? "" : ",").append(json(daemon, entry.getKey(), entry.getValue()));
            bytes += entry.getValue().value().length;
        }
        return ok("{\"items\":[" + found + "],\"truncated\":" + truncated + ",\"as_of\":" + revision + "}");
    }

    private synchronized String[] watch(String daemon, Map<String, String> query) throws InterruptedException {
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.get("after"));
        long deadline = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        while (true) {
            if (after < oldestRevision) {
                return status(410);
            }
            StringBuilder events = new StringBuilder();
            for (Change change : changes) {
                if (change.revision() > after && change.key().startsWith(prefix)) {
                    events.append(events.length() == 0 ? "" : ",").append(event(daemon, change));
                }
            }
            long remaining = (deadline - System.nanoTime()) / 1_000_000;
            boolean away = partitioned.contains(daemon);
            if (away || events.length() > 0 || remaining <= 0) {
                return ok("{\"events\":[" + events + "],\"as_of\":" + revision + "}");
            }
            wait(remaining);
        }
    }

    private String[] transact(String body) {
        Matcher expected = Pattern.compile("\\{\"key\":\"([^\"]*)\",\"revision\":(\\d+)\\}").matcher(body);
        while (expected.find()) {
            Item item = items.get(expected.group(1));
            if ((item == null ? 0 : item.revision()) != Long.parseLong(expected.group(2))) {
                return new String[] {"412", "{\"items\":[]}"};
            }
        }
        Matcher write = Pattern.compile("\\{\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\",\"lease\":(\\d+)\\}")
                .matcher(body);
        List<Runnable> writes = new ArrayList<>();
        while (write.find()) {
            String key = write.group(1);
            byte[] value = Base64.getDecoder().decode(write.group(2));
            long lease = Long.parseLong(write.group(3));
            if (lease != 0 && !leases.containsKey(lease)) {
                return status(404);
            }
            if (key.startsWith("op/") || key.startsWith("servers/")) {
                return status(403);
            }
            writes.add(() -> write(key, value, lease));
        }
        writes.forEach(Runnable::run);
        return ok("{\"revision\":" + revision + "}");
    }

    private String event(String daemon, Change change) {
        if (change.value() == null) {
            return "{\"key\":\"" + change.key() + "\",\"revision\":" + change.revision() + ",\"tombstone\":true}";
        }
        return json(daemon, change.key(), new Item(change.value(), change.revision(), change.revision(), change.lease()));
    }

    private String json(String daemon, String key, Item item) {
        String text = new String(item.value(), StandardCharsets.UTF_8);
        String shown = key.equals("op/config") ? text : rewrite.apply(daemon, text);
        return "{\"key\":\"" + key + "\",\"value\":\""
                + Base64.getEncoder().encodeToString(shown.getBytes(StandardCharsets.UTF_8)) + "\",\"revision\":"
                + item.revision() + ",\"created\":" + item.created() + ",\"lease\":" + item.lease() + "}";
    }

    private static String[] ok(String body) {
        return new String[] {"200", body};
    }

    private static String[] status(int code) {
        return new String[] {Integer.toString(code), ""};
    }

    private static long number(String body, String field) {
        Matcher found = Pattern.compile("\"" + field + "\":(\\d+)").matcher(body);
        return found.find() ? Long.parseLong(found.group(1)) : 0;
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> parameters = new HashMap<>();
        for (String part : raw == null ? new String[0] : raw.split("&")) {
            String[] pair = part.split("=", 2);
            parameters.put(
                    pair[0], pair.length < 2 ? "" : URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
        }
        return parameters;
    }
}
