package org.banyanhook.testbed.line;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.banyanhook.testbed.http.JsonHttpServer;
import org.banyanhook.testbed.http.JsonReply;
import org.banyanhook.testbed.http.JsonRequest;
import org.banyanhook.testbed.http.MalformedRequestException;

/** The platform's key-value store: records with revisions, conditions, leases and watches. Safe for several threads. */
public final class StoreStandIn implements AutoCloseable {

    private static final int PAGE_ITEMS = 5;

    private final ObjectMapper json = new ObjectMapper();
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private final Map<Long, Long> leaseEndsNanos = new HashMap<>();
    private final JsonHttpServer server;
    private final List<JsonHttpServer> views = new ArrayList<>();
    private long revision = 1;
    private long historyStart;
    private long lastLease;
    private volatile boolean refusing;

    private record Item(byte[] value, long revision, long lease) {}

    private record Change(String key, long revision, byte[] value, long lease, boolean removed) {}

    private record Watch(long after, UnaryOperator<String> rewrite, CompletableFuture<JsonReply> reply) {}

    /** Starts a store on a free port. */
    public StoreStandIn() {
        this.server =
                JsonHttpServer.start("store", 0, request -> handle(request, UnaryOperator.identity()), text -> {});
    }

    /** Returns its IP number and port. */
    public String address() {
        return server.address();
    }

    /**
     * Opens a port to the same records, whose texts are rewritten for whoever reads them there; so one reader can be
     * given other addresses.
     *
     * @param rewrite changes the text of a record
     * @return its IP number and port
     */
    public synchronized String view(UnaryOperator<String> rewrite) {
        JsonHttpServer view = JsonHttpServer.start("store-view", 0, request -> handle(request, rewrite), text -> {});
        views.add(view);
        return view.address();
    }

    /** Answers every call with 503 while set. */
    public void refuse(boolean value) {
        refusing = value;
    }

    /** Writes a record as operators and members do. */
    public synchronized void put(String key, String value) {
        write(key, value.getBytes(StandardCharsets.UTF_8), 0);
        wake();
    }

    /** Removes a record. */
    public synchronized void remove(String key) {
        drop(key);
        wake();
    }

    /** Forgets the history, so that watches from before must read all records again. */
    public synchronized void forgetHistory() {
        historyStart = revision;
        changes.clear();
        watches.forEach(watch -> watch.reply().complete(JsonReply.empty(410)));
        watches.clear();
    }

    /** Returns the text of a record, or an empty text. */
    public synchronized String text(String key) {
        Item item = items.get(key);
        return item == null ? "" : new String(item.value(), StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        views.forEach(JsonHttpServer::close);
        server.close();
    }

    private CompletableFuture<JsonReply> handle(JsonRequest request, UnaryOperator<String> rewrite)
            throws MalformedRequestException {
        if (refusing) {
            return CompletableFuture.completedFuture(JsonReply.empty(503));
        }
        String path = request.rawPath();
        synchronized (this) {
            endLeases();
            if (path.startsWith("/api/kv-range")) {
                return done(range(request.queryText("prefix", ""), request.queryText("after", ""), rewrite));
            }
            if (path.startsWith("/api/kv-watch")) {
                return watch(request.queryNumber("after", 0), request.queryNumber("wait_ms", 1_000), rewrite);
            }
            if (path.startsWith("/api/kv-keep/")) {
                return done(keep(Long.parseLong(path.substring(path.lastIndexOf('/') + 1))));
            }
            if (path.startsWith("/api/kv-lease-end/")) {
                endLease(Long.parseLong(path.substring(path.lastIndexOf('/') + 1)));
                return done(JsonReply.ok(Map.of()));
            }
            try {
                JsonNode body = json.readTree(request.body());
                return done(path.startsWith("/api/kv-lease") ? lease(body) : transaction(body));
            } catch (IOException exception) {
                return done(JsonReply.empty(400));
            }
        }
    }

    private JsonReply range(String prefix, String after, UnaryOperator<String> rewrite) {
        List<Object> found = new ArrayList<>();
        boolean truncated = false;
        for (Map.Entry<String, Item> entry : items.tailMap(after, false).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                continue;
            }
            if (found.size() == PAGE_ITEMS) {
                truncated = true;
                break;
            }
            Item item = entry.getValue();
            found.add(event(new Change(entry.getKey(), item.revision(), item.value(), item.lease(), false), rewrite));
        }
        return JsonReply.ok(Map.of("items", found, "truncated", truncated, "as_of", revision));
    }

    private CompletableFuture<JsonReply> watch(long after, long waitMillis, UnaryOperator<String> rewrite) {
        if (after < historyStart) {
            return done(JsonReply.empty(410));
        }
        Watch watch = new Watch(after, rewrite, new CompletableFuture<>());
        watches.add(watch);
        wake();
        return watch.reply()
                .completeOnTimeout(
                        JsonReply.ok(Map.of("events", List.of(), "as_of", after)), waitMillis, TimeUnit.MILLISECONDS);
    }

    private void wake() {
        watches.removeIf(watch -> {
            List<Map<String, Object>> events = changes.stream()
                    .filter(change -> change.revision() > watch.after())
                    .map(change -> event(change, watch.rewrite()))
                    .toList();
            return !events.isEmpty()
                    && watch.reply().complete(JsonReply.ok(Map.of("events", events, "as_of", revision)));
        });
    }

    private JsonReply transaction(JsonNode body) {
        for (JsonNode expected : body.path("expect")) {
            Item item = items.get(expected.path("key").asText());
            long present = item == null ? 0 : item.revision();
            if (present != expected.path("revision").asLong()) {
                return JsonReply.of(412, Map.of("items", List.of()));
            }
        }
        for (JsonNode set : body.path("set_keys")) {
            long lease = set.path("lease").asLong();
            if (lease != 0 && !leaseEndsNanos.containsKey(lease)) {
                return JsonReply.empty(404);
            }
            write(
                    set.path("key").asText(),
                    Base64.getDecoder().decode(set.path("value").asText()),
                    lease);
        }
        wake();
        return JsonReply.ok(Map.of("revision", revision));
    }

    private JsonReply lease(JsonNode body) {
        long lease = ++lastLease;
        long millis = body.path("ttl_ms").asLong();
        leaseEndsNanos.put(lease, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis));
        return JsonReply.ok(Map.of("lease", lease, "ttl_ms", millis));
    }

    private JsonReply keep(long lease) {
        if (!leaseEndsNanos.containsKey(lease)) {
            return JsonReply.empty(404);
        }
        leaseEndsNanos.put(lease, System.nanoTime() + TimeUnit.SECONDS.toNanos(5));
        return JsonReply.ok(Map.of("ttl_ms", 5_000));
    }

    private void endLeases() {
        long now = System.nanoTime();
        List<Long> ended = leaseEndsNanos.entrySet().stream()
                .filter(lease -> now - lease.getValue() >= 0)
                .map(Map.Entry::getKey)
                .toList();
        ended.forEach(this::endLease);
    }

    private void endLease(long lease) {
        if (leaseEndsNanos.remove(lease) == null) {
            return;
        }
        List<String> keys = items.entrySet().stream()
                .filter(item -> item.getValue().lease() == lease)
                .map(Map.Entry::getKey)
                .toList();
        keys.forEach(this::drop);
        wake();
    }

    private void write(String key, byte[] value, long lease) {
        revision++;
        items.put(key, new Item(value, revision, lease));
        changes.add(new Change(key, revision, value, lease, false));
    }

    private void drop(String key) {
        if (items.remove(key) != null) {
            revision++;
            changes.add(new Change(key, revision, new byte[0], 0, true));
        }
    }

    private static Map<String, Object> event(Change change, UnaryOperator<String> rewrite) {
        ImmutableMap.Builder<String, Object> event =
                ImmutableMap.<String, Object>builder().put("key", change.key()).put("revision", change.revision());
        if (change.removed()) {
            return event.put("tombstone", true).buildOrThrow();
        }
        String text = rewrite.apply(new String(change.value(), StandardCharsets.UTF_8));
        return event.put("value", Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)))
                .put("created", change.revision())
                .put("lease", change.lease())
                .buildOrThrow();
    }

    private static CompletableFuture<JsonReply> done(JsonReply reply) {
        return CompletableFuture.completedFuture(reply);
    }
}
