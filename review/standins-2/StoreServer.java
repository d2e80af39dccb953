import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** The platform's key-value store: revisions, conditional writes, leases and watches. */
final class StoreServer implements AutoCloseable {
    private static final int PAGE_ITEMS = 500;
    /** A watch from before the changes that are kept gets 410. */
    private static final long HISTORY_NANOS = TimeUnit.SECONDS.toNanos(20);
    private final HttpServer2 server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 10;
    private long lastLease;
    private long discardedRevision;

    private record Item(String value, long revision, long created, long lease) {}

    private record Event(String key, long revision, Item item, long writtenNanos) {}

    private record Lease(long ttlMillis, long expiresNanos) {}

    StoreServer() throws IOException {
        server = new HttpServer2(this::handle);
        Threads.start("leases", () -> {
            while (true) {
                Threads.sleep(20);
                expireLeases();
            }
        });
    }

    String address() {
        return server.address();
    }

    /** Writes a record as an operator or a member. */
    synchronized void put(String key, String text) {
        set(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0);
        notifyAll();
    }

    /** Removes a record as an operator or a member. */
    synchronized void remove(String key) {
        drop(key);
        notifyAll();
    }

    /** Returns the text of a record, or null. */
    synchronized String text(String key) {
        Item item = items.get(key);
        return item == null ? null : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
    }

    private void set(String key, String value, long lease) {
        revision++;
        Item before = items.get(key);
        Item item = new Item(value, revision, before == null ? revision : before.created(), lease);
        items.put(key, item);
        events.add(new Event(key, revision, item, System.nanoTime()));
    }

    private void drop(String key) {
        if (items.remove(key) != null) {
            revision++;
            events.add(new Event(key, revision, null, System.nanoTime()));
        }
    }

    private synchronized void expireLeases() {
        long now = System.nanoTime();
        List<Long> ended = new ArrayList<>();
        leases.forEach((id, lease) -> {
            if (now - lease.expiresNanos() >= 0) {
                ended.add(id);
            }
        });
        ended.forEach(this::endLease);
        if (!ended.isEmpty()) {
            notifyAll();
        }
    }

    private boolean endLease(long id) {
        if (leases.remove(id) == null) {
            return false;
        }
        List<String> keys = new ArrayList<>();
        items.forEach((key, item) -> {
            if (item.lease() == id) {
                keys.add(key);
            }
        });
        keys.forEach(this::drop);
        return true;
    }

    private HttpServer2.Response handle(HttpServer2.Request request) throws InterruptedException {
        String path = request.path();
        if (path.equals("/api/kv-watch")) {
            return watch(request.query());
        }
        synchronized (this) {
            HttpServer2.Response response = call(request, path);
            notifyAll();
            return response;
        }
    }

    private HttpServer2.Response call(HttpServer2.Request request, String path) {
        if (path.equals("/api/kv-range")) {
            return range(request.query());
        }
        if (path.equals("/api/kv-key")) {
            Item item = items.get(request.query().get("key"));
            return item == null
                    ? HttpServer2.Response.of(404, "{}")
                    : HttpServer2.Response.of(200, json(request.query().get("key"), item));
        }
        if (path.equals("/api/kv-lease")) {
            long ttl = Math.max(1_000, ((Double) MiniJson.object(request.body()).get("ttl_ms")).longValue());
            leases.put(++lastLease, new Lease(ttl, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ttl)));
            return HttpServer2.Response.of(200, "{\"lease\":" + lastLease + ",\"ttl_ms\":" + ttl + "}");
        }
        if (path.startsWith("/api/kv-keep/")) {
            long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
            Lease lease = leases.get(id);
            if (lease == null) {
                return HttpServer2.Response.of(404, "{}");
            }
            leases.put(id, new Lease(lease.ttlMillis(), System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(lease.ttlMillis())));
            return HttpServer2.Response.of(200, "{\"ttl_ms\":" + lease.ttlMillis() + "}");
        }
        if (path.startsWith("/api/kv-lease-end/")) {
            boolean ended = endLease(Long.parseLong(path.substring(path.lastIndexOf('/') + 1)));
            return HttpServer2.Response.of(ended ? 200 : 404, "{}");
        }
        return path.equals("/api/kv-txn") ? transaction(MiniJson.object(request.body())) : HttpServer2.Response.of(404, "{}");
    }

    @SuppressWarnings("unchecked")
    private HttpServer2.Response transaction(Map<String, Object> body) {
        for (Object row : (List<Object>) body.getOrDefault("expect", List.of())) {
            Map<String, Object> expected = (Map<String, Object>) row;
            Item item = items.get((String) expected.get("key"));
            if ((item == null ? 0 : item.revision()) != ((Double) expected.get("revision")).longValue()) {
                return HttpServer2.Response.of(412, "{\"items\":[]}");
            }
        }
        List<Object> writes = (List<Object>) body.getOrDefault("set_keys", List.of());
        for (Object row : writes) {
            Map<String, Object> write = (Map<String, Object>) row;
            String key = (String) write.get("key");
            long lease = ((Double) write.getOrDefault("lease", 0.0)).longValue();
            if (key.startsWith("op/") || key.startsWith("servers/")) {
                return HttpServer2.Response.of(403, "{}");
            }
            if (lease != 0 && !leases.containsKey(lease)) {
                return HttpServer2.Response.of(404, "{}");
            }
        }
        for (Object row : writes) {
            Map<String, Object> write = (Map<String, Object>) row;
            set((String) write.get("key"), (String) write.get("value"), ((Double) write.getOrDefault("lease", 0.0)).longValue());
        }
        for (Object key : (List<Object>) body.getOrDefault("remove", List.of())) {
            drop((String) key);
        }
        return HttpServer2.Response.of(200, "{\"revision\":" + revision + "}");
    }

    private HttpServer2.Response range(Map<String, String> query) {
        String prefix = query.getOrDefault("prefix", "");
        StringBuilder list = new StringBuilder();
        int count = 0;
        boolean truncated = false;
        for (Map.Entry<String, Item> entry : items.tailMap(query.getOrDefault("after", ""), false).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                continue;
            }
            if (count == PAGE_ITEMS) {
                truncated = true;
                break;
            }
            list.append(count++ == 0 ? "" : ",").append(json(entry.getKey(), entry.getValue()));
        }
        return HttpServer2.Response.of(
                200, "{\"items\":[" + list + "],\"truncated\":" + truncated + ",\"as_of\":" + revision + "}");
    }

    private synchronized HttpServer2.Response watch(Map<String, String> query) throws InterruptedException {
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.get("after"));
        events.removeIf(event -> {
            boolean old = System.nanoTime() - event.writtenNanos() > HISTORY_NANOS;
            discardedRevision = old ? Math.max(discardedRevision, event.revision()) : discardedRevision;
            return old;
        });
        if (after < discardedRevision || after > revision) {
            return HttpServer2.Response.of(410, "{}");
        }
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Long.parseLong(query.getOrDefault("wait_ms", "1000")));
        while (true) {
            StringBuilder list = new StringBuilder();
            for (Event event : events) {
                if (event.revision() > after && event.key().startsWith(prefix)) {
                    list.append(list.length() == 0 ? "" : ",")
                            .append(event.item() == null
                                    ? "{\"key\":\"" + event.key() + "\",\"revision\":" + event.revision() + ",\"tombstone\":true}"
                                    : json(event.key(), event.item()));
                }
            }
            long remaining = TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime());
            if (list.length() > 0 || remaining <= 0) {
                return HttpServer2.Response.of(200, "{\"events\":[" + list + "],\"as_of\":" + revision + "}");
            }
            wait(remaining);
        }
    }

    private static String json(String key, Item item) {
        return "{\"key\":\"" + key + "\",\"value\":\"" + item.value() + "\",\"revision\":" + item.revision() + ",\"created\":"
                + item.created() + ",\"lease\":" + item.lease() + "}";
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
