import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.UnaryOperator;

/**
 * The platform's metadata store as PROTOCOL.md describes it. Each reader may have a port of its own, on which the
 * addresses in the records are those of the proxies that lie between it and the others.
 */
final class Store implements AutoCloseable {
    private static final long ANSWER_MILLIS = 4;

    private record Item(byte[] value, long revision, long created, long lease) {}

    private record Change(String key, long revision, byte[] value, long created, long lease) {}

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private final List<HttpServer> servers = new ArrayList<>();
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "store");
        thread.setDaemon(true);
        return thread;
    });
    private final Journal journal;
    private long revision = 1;
    private long lastLease = 100;
    private boolean closed;

    Store(Journal journal) {
        this.journal = journal;
        Link.start("leases", this::expireLeases);
    }

    /** Opens a port for one reader. */
    InetSocketAddress open(String reader, UnaryOperator<String> view) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 100);
        server.setExecutor(threads);
        server.createContext("/", exchange -> {
            try {
                handle(reader, exchange, view);
            } catch (RuntimeException | InterruptedException exception) {
                journal.line("store", "fault " + exception);
                exchange.sendResponseHeaders(500, -1);
            } finally {
                exchange.close();
            }
        });
        server.start();
        synchronized (this) {
            servers.add(server);
        }
        return server.getAddress();
    }

    synchronized void put(String key, String value) {
        write(key, value.getBytes(StandardCharsets.UTF_8), 0);
        notifyAll();
    }

    synchronized void remove(String key) {
        erase(key);
        notifyAll();
    }

    synchronized String text(String key) {
        Item item = items.get(key);
        return item == null ? "" : new String(item.value(), StandardCharsets.UTF_8);
    }

    @Override
    public synchronized void close() {
        closed = true;
        servers.forEach(server -> server.stop(0));
        threads.shutdownNow();
        notifyAll();
    }

    private void handle(String reader, HttpExchange exchange, UnaryOperator<String> view)
            throws IOException, InterruptedException {
        String path = exchange.getRequestURI().getPath();
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Thread.sleep(ANSWER_MILLIS);
        if (path.equals("/api/kv-range")) {
            answer(exchange, 200, range(query.getOrDefault("prefix", ""), query.getOrDefault("after", ""), view));
        } else if (path.equals("/api/kv-watch")) {
            answer(
                    exchange,
                    200,
                    watch(
                            query.getOrDefault("prefix", ""),
                            Long.parseLong(query.getOrDefault("after", "0")),
                            Long.parseLong(query.getOrDefault("wait_ms", "1000")),
                            view));
        } else if (path.equals("/api/kv-txn")) {
            transact(reader, exchange, Json.object(body));
        } else if (path.equals("/api/kv-lease")) {
            long ttl = (Long) Json.object(body).get("ttl_ms");
            long lease;
            synchronized (this) {
                lease = ++lastLease;
                leases.put(lease, new long[] {ttl, System.nanoTime() + ttl * 1_000_000});
            }
            answer(exchange, 200, "{\"lease\":" + lease + ",\"ttl_ms\":" + ttl + "}");
        } else if (path.startsWith("/api/kv-keep/")) {
            long[] lease;
            synchronized (this) {
                lease = leases.get(number(path));
                if (lease != null) {
                    lease[1] = System.nanoTime() + lease[0] * 1_000_000;
                }
            }
            answer(exchange, lease == null ? 404 : 200, lease == null ? "" : "{\"ttl_ms\":" + lease[0] + "}");
        } else if (path.startsWith("/api/kv-lease-end/")) {
            boolean ended;
            synchronized (this) {
                ended = endLease(number(path));
            }
            journal.line("store", reader + " ends lease " + number(path));
            answer(exchange, ended ? 200 : 404, ended ? "{}" : "");
        } else {
            answer(exchange, 404, "");
        }
    }

    @SuppressWarnings("unchecked")
    private void transact(String reader, HttpExchange exchange, Map<String, Object> body) throws IOException {
        List<Object> expect = (List<Object>) body.getOrDefault("expect", List.of());
        List<Object> sets = (List<Object>) body.getOrDefault("set_keys", List.of());
        List<Object> removals = (List<Object>) body.getOrDefault("remove", List.of());
        int status = 200;
        long result;
        synchronized (this) {
            for (Object row : expect) {
                Map<String, Object> expected = (Map<String, Object>) row;
                Item item = items.get((String) expected.get("key"));
                if ((item == null ? 0 : item.revision()) != (Long) expected.get("revision")) {
                    status = 412;
                }
            }
            for (Object row : sets) {
                long lease = (Long) ((Map<String, Object>) row).getOrDefault("lease", 0L);
                if (status == 200 && lease != 0 && !leases.containsKey(lease)) {
                    status = 404;
                }
            }
            if (status == 200) {
                for (Object row : sets) {
                    Map<String, Object> set = (Map<String, Object>) row;
                    write(
                            (String) set.get("key"),
                            Base64.getDecoder().decode((String) set.get("value")),
                            (Long) set.getOrDefault("lease", 0L));
                }
                removals.forEach(key -> erase((String) key));
                notifyAll();
            }
            result = revision;
        }
        for (Object row : sets) {
            Map<String, Object> set = (Map<String, Object>) row;
            journal.line(
                    "store",
                    reader + " sets " + set.get("key") + " to "
                            + new String(Base64.getDecoder().decode((String) set.get("value")), StandardCharsets.UTF_8)
                            + ": " + status + " revision " + result);
        }
        answer(exchange, status, status == 200 ? "{\"revision\":" + result + "}" : "{\"items\":[]}");
    }

    private synchronized String range(String prefix, String after, UnaryOperator<String> view) {
        StringBuilder found = new StringBuilder();
        items.tailMap(after, false).forEach((key, item) -> {
            if (key.startsWith(prefix)) {
                found.append(found.length() == 0 ? "" : ",").append(item(key, item, view));
            }
        });
        return "{\"items\":[" + found + "],\"truncated\":false,\"as_of\":" + revision + "}";
    }

    private synchronized String watch(String prefix, long after, long waitMillis, UnaryOperator<String> view)
            throws InterruptedException {
        long deadline = System.nanoTime() + waitMillis * 1_000_000;
        while (!closed) {
            StringBuilder found = new StringBuilder();
            for (Change change : changes) {
                if (change.revision() > after && change.key().startsWith(prefix)) {
                    found.append(found.length() == 0 ? "" : ",");
                    if (change.value() == null) {
                        found.append("{\"key\":" + Json.quote(change.key()) + ",\"revision\":" + change.revision()
                                + ",\"tombstone\":true}");
                    } else {
                        found.append(item(
                                change.key(),
                                new Item(change.value(), change.revision(), change.created(), change.lease()),
                                view));
                    }
                }
            }
            long left = (deadline - System.nanoTime()) / 1_000_000;
            if (found.length() > 0 || left <= 0) {
                return "{\"events\":[" + found + "],\"as_of\":" + revision + "}";
            }
            wait(left);
        }
        return "{\"events\":[],\"as_of\":" + revision + "}";
    }

    private static String item(String key, Item item, UnaryOperator<String> view) {
        String text = view.apply(new String(item.value(), StandardCharsets.UTF_8));
        String value = Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
        return "{\"key\":" + Json.quote(key) + ",\"value\":\"" + value + "\",\"revision\":" + item.revision()
                + ",\"created\":" + item.created() + ",\"lease\":" + item.lease() + "}";
    }

    private void write(String key, byte[] value, long lease) {
        revision++;
        Item before = items.get(key);
        Item item = new Item(value, revision, before == null ? revision : before.created(), lease);
        items.put(key, item);
        changes.add(new Change(key, revision, value, item.created(), lease));
    }

    private void erase(String key) {
        if (items.remove(key) != null) {
            revision++;
            changes.add(new Change(key, revision, null, 0, 0));
        }
    }

    private boolean endLease(long lease) {
        if (leases.remove(lease) == null) {
            return false;
        }
        for (String key : List.copyOf(items.keySet())) {
            if (items.get(key).lease() == lease) {
                erase(key);
            }
        }
        notifyAll();
        return true;
    }

    private void expireLeases() {
        while (true) {
            synchronized (this) {
                if (closed) {
                    return;
                }
                long now = System.nanoTime();
                List.copyOf(leases.keySet()).stream()
                        .filter(lease -> now - leases.get(lease)[1] >= 0)
                        .forEach(this::endLease);
            }
            try {
                Thread.sleep(20);
            } catch (InterruptedException exception) {
                return;
            }
        }
    }

    private static long number(String path) {
        return Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        for (String pair : raw == null ? new String[0] : raw.split("&")) {
            int equals = pair.indexOf('=');
            query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }

    private static void answer(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        exchange.getResponseBody().write(bytes);
    }
}
