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
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.banyanhook.testbed.http.JsonHttpServer;
import org.banyanhook.testbed.http.JsonReply;
import org.banyanhook.testbed.http.JsonRequest;
import org.banyanhook.testbed.http.MalformedRequestException;
import org.jspecify.annotations.Nullable;

/**
 * A stand-in for the platform's key-value store, with revisions, conditional writes, leases and watches. Thread-safe.
 */
public final class StoreStandIn implements AutoCloseable {

    private static final int MAXIMUM_ITEMS_PER_PAGE = 5;

    private final ObjectMapper json = new ObjectMapper();
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final List<PendingWatch> pendingWatches = new ArrayList<>();
    private final Map<Long, Long> leaseExpiryNanos = new HashMap<>();
    private final JsonHttpServer server;
    private final List<JsonHttpServer> viewServers = new ArrayList<>();
    private long revision = 1;
    private long oldestWatchableRevision;
    private long lastLeaseId;
    private volatile boolean unavailable;
    private long era;
    private @Nullable Copy copy;
    private final List<Runnable> outsideWrites = new ArrayList<>();

    private record Copy(TreeMap<String, Item> items, Map<Long, Long> leaseExpiryNanos, long revision, long leaseId) {}

    private record Item(byte[] value, long revision, long leaseId) {}

    private record Change(String key, long revision, byte[] value, long leaseId, boolean removed) {}

    private record PendingWatch(
            String prefix, long afterRevision, UnaryOperator<String> rewrite, CompletableFuture<JsonReply> reply) {}

    /** Starts an empty store on a free port. */
    public StoreStandIn() {
        this.server =
                JsonHttpServer.start("store", 0, request -> handle(request, UnaryOperator.identity()), text -> {});
    }

    /** Returns the IP address and port. */
    public String address() {
        return server.address();
    }

    /**
     * Opens another port to the same records, which rewrites the text of each record that is read through it. One
     * reader can thus be given the addresses of proxies in place of the real ones.
     *
     * @param rewrite the function that rewrites the text of a record
     * @return the IP address and port
     */
    public synchronized String openView(UnaryOperator<String> rewrite) {
        JsonHttpServer view = JsonHttpServer.start("store-view", 0, request -> handle(request, rewrite), text -> {});
        viewServers.add(view);
        return view.address();
    }

    /** Answers every request with status 503 while set. */
    public void setUnavailable(boolean value) {
        unavailable = value;
    }

    /** Writes a record without a lease, as operators and members do. */
    public synchronized void put(String key, String value) {
        outsideWrites.add(() -> put(key, value));
        writeItem(key, value.getBytes(StandardCharsets.UTF_8), 0);
        completeWatches();
    }

    /** Removes a record. */
    public synchronized void remove(String key) {
        outsideWrites.add(() -> remove(key));
        removeItem(key);
        completeWatches();
    }

    /**
     * Discards the history of changes. Pending watches, and later ones from an earlier revision, are answered with
     * status 410, so their clients have to read all records again.
     */
    public synchronized void discardHistory() {
        oldestWatchableRevision = revision;
        changes.clear();
        pendingWatches.forEach(watch -> watch.reply().complete(JsonReply.empty(410)));
        pendingWatches.clear();
    }

    /** Sends the header with the era in every answer from now on, beginning with era 1. */
    public synchronized void startEras() {
        era = 1;
    }

    /** Takes a copy of all records and leases. */
    public synchronized void takeCopy() {
        expireLeases();
        copy = new Copy(new TreeMap<>(items), new HashMap<>(leaseExpiryNanos), revision, lastLeaseId);
        outsideWrites.clear();
    }

    /**
     * Returns to the copy in a new era: all later writes and leases are lost, and their revisions and lease identifiers
     * are issued again. Pending watches are answered with status 410. What operators and members wrote since the copy
     * is lost until {@link #repeatOutsideWrites()}.
     */
    public synchronized void restoreCopy() {
        Copy restored = Objects.requireNonNull(copy, "no copy was taken");
        era++;
        items.clear();
        items.putAll(restored.items());
        leaseExpiryNanos.clear();
        leaseExpiryNanos.putAll(restored.leaseExpiryNanos());
        revision = restored.revision();
        lastLeaseId = restored.leaseId();
        discardHistory();
    }

    /** Makes the writes of operators and members again that were made since the copy. */
    public synchronized void repeatOutsideWrites() {
        List<Runnable> repeated = List.copyOf(outsideWrites);
        outsideWrites.clear();
        repeated.forEach(Runnable::run);
    }

    /** Returns the text of a record, or an empty string if there is none. */
    public synchronized String text(String key) {
        Item item = items.get(key);
        return item == null ? "" : new String(item.value(), StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        viewServers.forEach(JsonHttpServer::close);
        server.close();
    }

    private CompletableFuture<JsonReply> handle(JsonRequest request, UnaryOperator<String> rewrite)
            throws MalformedRequestException {
        return answer(request, rewrite).thenApply(this::withEra);
    }

    private synchronized JsonReply withEra(JsonReply reply) {
        return era == 0 ? reply : reply.withHeader("Store-Era", Long.toString(era));
    }

    private CompletableFuture<JsonReply> answer(JsonRequest request, UnaryOperator<String> rewrite)
            throws MalformedRequestException {
        if (unavailable) {
            return CompletableFuture.completedFuture(JsonReply.empty(503));
        }
        String path = request.rawPath();
        synchronized (this) {
            expireLeases();
            if (path.startsWith("/api/kv-range")) {
                return completed(listRange(request.queryText("prefix", ""), request.queryText("after", ""), rewrite));
            }
            if (path.startsWith("/api/kv-watch")) {
                return startWatch(
                        request.queryText("prefix", ""),
                        request.queryNumber("after", 0),
                        request.queryNumber("wait_ms", 1_000),
                        rewrite);
            }
            if (path.startsWith("/api/kv-keep/")) {
                return completed(renewLease(Long.parseLong(path.substring(path.lastIndexOf('/') + 1))));
            }
            if (path.startsWith("/api/kv-lease-end/")) {
                endLease(Long.parseLong(path.substring(path.lastIndexOf('/') + 1)));
                return completed(JsonReply.ok(Map.of()));
            }
            try {
                JsonNode body = json.readTree(request.body());
                return completed(path.startsWith("/api/kv-lease") ? createLease(body) : applyTransaction(body));
            } catch (IOException exception) {
                return completed(JsonReply.empty(400));
            }
        }
    }

    private JsonReply listRange(String prefix, String afterKey, UnaryOperator<String> rewrite) {
        List<Object> found = new ArrayList<>();
        boolean truncated = false;
        for (Map.Entry<String, Item> entry : items.tailMap(afterKey, false).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                continue;
            }
            if (found.size() == MAXIMUM_ITEMS_PER_PAGE) {
                truncated = true;
                break;
            }
            Item item = entry.getValue();
            found.add(
                    toEvent(new Change(entry.getKey(), item.revision(), item.value(), item.leaseId(), false), rewrite));
        }
        return JsonReply.ok(Map.of("items", found, "truncated", truncated, "as_of", revision));
    }

    private CompletableFuture<JsonReply> startWatch(
            String prefix, long afterRevision, long waitMillis, UnaryOperator<String> rewrite) {
        if (afterRevision < oldestWatchableRevision || afterRevision > revision) {
            return completed(JsonReply.empty(410));
        }
        PendingWatch watch = new PendingWatch(prefix, afterRevision, rewrite, new CompletableFuture<>());
        pendingWatches.add(watch);
        completeWatches();
        return watch.reply()
                .completeOnTimeout(
                        JsonReply.ok(Map.of("events", List.of(), "as_of", afterRevision)),
                        waitMillis,
                        TimeUnit.MILLISECONDS);
    }

    private void completeWatches() {
        pendingWatches.removeIf(watch -> {
            List<Map<String, Object>> events = changes.stream()
                    .filter(change -> change.revision() > watch.afterRevision()
                            && change.key().startsWith(watch.prefix()))
                    .map(change -> toEvent(change, watch.rewrite()))
                    .toList();
            return !events.isEmpty()
                    && watch.reply().complete(JsonReply.ok(Map.of("events", events, "as_of", revision)));
        });
    }

    private JsonReply applyTransaction(JsonNode body) {
        for (JsonNode expected : body.path("expect")) {
            Item item = items.get(expected.path("key").asText());
            long currentRevision = item == null ? 0 : item.revision();
            if (currentRevision != expected.path("revision").asLong()) {
                return JsonReply.of(412, Map.of("items", List.of()));
            }
        }
        for (JsonNode write : body.path("set_keys")) {
            long leaseId = write.path("lease").asLong();
            if (leaseId != 0 && !leaseExpiryNanos.containsKey(leaseId)) {
                return JsonReply.empty(404);
            }
            writeItem(
                    write.path("key").asText(),
                    Base64.getDecoder().decode(write.path("value").asText()),
                    leaseId);
        }
        completeWatches();
        return JsonReply.ok(Map.of("revision", revision));
    }

    private JsonReply createLease(JsonNode body) {
        long leaseId = ++lastLeaseId;
        long durationMillis = body.path("ttl_ms").asLong();
        leaseExpiryNanos.put(leaseId, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMillis));
        return JsonReply.ok(Map.of("lease", leaseId, "ttl_ms", durationMillis));
    }

    private JsonReply renewLease(long leaseId) {
        if (!leaseExpiryNanos.containsKey(leaseId)) {
            return JsonReply.empty(404);
        }
        leaseExpiryNanos.put(leaseId, System.nanoTime() + TimeUnit.SECONDS.toNanos(5));
        return JsonReply.ok(Map.of("ttl_ms", 5_000));
    }

    private void expireLeases() {
        long now = System.nanoTime();
        List<Long> expired = leaseExpiryNanos.entrySet().stream()
                .filter(lease -> now - lease.getValue() >= 0)
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(this::endLease);
    }

    private void endLease(long leaseId) {
        if (leaseExpiryNanos.remove(leaseId) == null) {
            return;
        }
        List<String> keys = items.entrySet().stream()
                .filter(item -> item.getValue().leaseId() == leaseId)
                .map(Map.Entry::getKey)
                .toList();
        keys.forEach(this::removeItem);
        completeWatches();
    }

    private void writeItem(String key, byte[] value, long leaseId) {
        revision++;
        items.put(key, new Item(value, revision, leaseId));
        changes.add(new Change(key, revision, value, leaseId, false));
    }

    private void removeItem(String key) {
        if (items.remove(key) != null) {
            revision++;
            changes.add(new Change(key, revision, new byte[0], 0, true));
        }
    }

    private static Map<String, Object> toEvent(Change change, UnaryOperator<String> rewrite) {
        ImmutableMap.Builder<String, Object> event =
                ImmutableMap.<String, Object>builder().put("key", change.key()).put("revision", change.revision());
        if (change.removed()) {
            return event.put("tombstone", true).buildOrThrow();
        }
        String text = rewrite.apply(new String(change.value(), StandardCharsets.UTF_8));
        return event.put("value", Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)))
                .put("created", change.revision())
                .put("lease", change.leaseId())
                .buildOrThrow();
    }

    private static CompletableFuture<JsonReply> completed(JsonReply reply) {
        return CompletableFuture.completedFuture(reply);
    }
}
