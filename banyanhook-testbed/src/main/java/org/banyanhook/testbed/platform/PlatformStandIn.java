package org.banyanhook.testbed.platform;

import static com.google.common.base.Preconditions.checkArgument;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.banyanhook.daemon.platform.VirtualMachine;
import org.banyanhook.testbed.http.ErrorBody;
import org.banyanhook.testbed.http.JsonHttpServer;
import org.banyanhook.testbed.http.JsonReply;
import org.banyanhook.testbed.http.JsonRequest;
import org.banyanhook.testbed.http.MalformedRequestException;
import org.jspecify.annotations.Nullable;

/**
 * A stand-in of the platform's service: values with compare-and-swap, leases, watches and the list of virtual machines.
 *
 * <p>Counts calls by kind and plays faults. Keeps its state in memory. Safe for use by several threads.
 */
public final class PlatformStandIn implements AutoCloseable {

    private static final int MAXIMUM_VALUE_BYTES = 1 << 20;
    private static final long MAXIMUM_WAIT_MILLIS = 300_000;

    private final PlatformState state = new PlatformState(System::nanoTime);
    private final PlatformFaults faults = new PlatformFaults();
    private final Map<String, LongAdder> calls = new ConcurrentHashMap<>();
    private final JsonHttpServer server;

    private record PutValue(
            @Nullable String value,
            long expectedRevision,
            @Nullable String leaseId) {}

    private record Revision(long revision) {}

    private record LeaseRequest(long timeToLiveMillis) {}

    private record LeaseAnswer(String leaseId, long timeToLiveMillis) {}

    private record MachineList(@Nullable List<VirtualMachine> virtualMachines) {}

    private PlatformStandIn(Builder builder) {
        state.setListLagMillis(builder.virtualMachineLagMillis);
        server = JsonHttpServer.start("platform-stand-in", builder.port, this::handle, text -> {});
    }

    /** Starts the description of a stand-in. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the bound IP number and port. */
    public String address() {
        return server.address();
    }

    /** Replaces the list of virtual machines; the change becomes visible after the lag. */
    public void listVirtualMachines(List<VirtualMachine> machines) {
        state.listMachines(machines);
    }

    /** Returns how many calls of each kind were made, a waiting watch counting as one. */
    public Map<String, Long> calls() {
        Map<String, Long> result = new TreeMap<>();
        calls.forEach((kind, count) -> result.put(kind, count.sum()));
        return result;
    }

    /** Changes the faults that the stand-in plays. */
    public void changeFaults(PlatformFaults.Change change) {
        faults.apply(change);
        if (change.virtualMachineLagMillis() != null) {
            state.setListLagMillis(change.virtualMachineLagMillis());
        }
    }

    /**
     * Stores a value whatever its revision is.
     *
     * @param key the key
     * @param value the new value
     */
    public void store(String key, String value) {
        boolean applied = false;
        while (!applied) {
            long present = state.read(key).map(PlatformState.Value::revision).orElse(0L);
            applied = state.swap(key, value, present, null).applied();
        }
    }

    /**
     * Reads a value without counting a call.
     *
     * @param key the key
     * @return the value, or empty if it is absent
     */
    public Optional<String> stored(String key) {
        return state.read(key).map(PlatformState.Value::value);
    }

    @Override
    public void close() {
        server.close();
    }

    private CompletableFuture<JsonReply> handle(JsonRequest request) throws MalformedRequestException {
        if (request.rawPath().startsWith("/stand-in/")) {
            return CompletableFuture.completedFuture(control(request));
        }
        String kind = kindOf(request);
        calls.computeIfAbsent(kind, key -> new LongAdder()).increment();
        if (faults.outage()) {
            return CompletableFuture.completedFuture(JsonReply.DROPPED);
        }
        boolean lost = faults.takeLostAnswer();
        return delayed(request).thenApply(reply -> lost || faults.outage() ? JsonReply.DROPPED : reply);
    }

    private CompletableFuture<JsonReply> delayed(JsonRequest request) throws MalformedRequestException {
        long delayMillis = faults.delayMillis();
        if (delayMillis == 0) {
            return call(request);
        }
        Executor later = CompletableFuture.delayedExecutor(delayMillis, TimeUnit.MILLISECONDS);
        return CompletableFuture.supplyAsync(() -> callUnchecked(request), later)
                .thenCompose(reply -> reply);
    }

    private CompletableFuture<JsonReply> callUnchecked(JsonRequest request) {
        try {
            return call(request);
        } catch (MalformedRequestException exception) {
            return CompletableFuture.completedFuture(malformed(exception.getMessage()));
        }
    }

    private CompletableFuture<JsonReply> call(JsonRequest request) throws MalformedRequestException {
        List<String> segments = request.segments();
        if (kindOf(request).equals("watch")) {
            return watch(request, segments.get(2));
        }
        return CompletableFuture.completedFuture(callAtOnce(request, segments));
    }

    private static String kindOf(JsonRequest request) {
        List<String> segments = request.segments();
        String resource = segments.size() > 1 ? segments.get(1) : "";
        return switch (resource) {
            case "values" -> valueCallKind(request, segments);
            case "leases" -> "lease";
            case "virtual-machines" -> "list";
            default -> "unknown";
        };
    }

    private static String valueCallKind(JsonRequest request, List<String> segments) {
        if (segments.size() == 4 && segments.get(3).equals("watch")) {
            return "watch";
        }
        return request.method().equals("GET") ? "read" : "write";
    }

    private JsonReply callAtOnce(JsonRequest request, List<String> segments) throws MalformedRequestException {
        String shape = request.method() + " " + segments.get(segments.size() > 1 ? 1 : 0) + "/" + segments.size();
        return switch (shape) {
            case "GET values/3" ->
                state.read(segments.get(2)).map(JsonReply::ok).orElse(JsonReply.empty(404));
            case "PUT values/3" -> put(segments.get(2), request.body(PutValue.class));
            case "DELETE values/3" -> delete(segments.get(2), request.queryNumber("expectedRevision"));
            case "POST leases/2" -> grantLease(request.body(LeaseRequest.class));
            case "POST leases/4" -> renewLease(segments.get(2));
            case "DELETE leases/3" -> JsonReply.empty(state.revokeLease(segments.get(2)) ? 200 : 404);
            case "GET virtual-machines/2" -> JsonReply.ok(new MachineList(state.machines()));
            default -> JsonReply.of(404, ErrorBody.of("unknown-call"));
        };
    }

    private CompletableFuture<JsonReply> watch(JsonRequest request, String key) throws MalformedRequestException {
        long afterRevision = request.queryNumber("afterRevision");
        long waitMillis = Math.min(request.queryNumber("waitMillis"), MAXIMUM_WAIT_MILLIS);
        CompletableFuture<PlatformState.Value> change = state.watch(key, afterRevision);
        request.connection().onClose(() -> state.endWatch(change));
        CompletableFuture<JsonReply> reply = change.thenApply(JsonReply::ok);
        return reply.completeOnTimeout(JsonReply.empty(304), waitMillis, TimeUnit.MILLISECONDS)
                .whenComplete((done, failure) -> state.endWatch(change));
    }

    private JsonReply put(String key, PutValue put) {
        if (put.value() == null) {
            return malformed("value is missing");
        }
        if (put.value().getBytes(StandardCharsets.UTF_8).length > MAXIMUM_VALUE_BYTES) {
            return JsonReply.of(413, ErrorBody.of("value-too-large"));
        }
        return swapReply(state.swap(key, put.value(), put.expectedRevision(), put.leaseId()));
    }

    private JsonReply delete(String key, long expectedRevision) {
        return state.delete(key, expectedRevision)
                .map(PlatformStandIn::swapReply)
                .orElse(JsonReply.empty(404));
    }

    private JsonReply grantLease(LeaseRequest request) {
        if (request.timeToLiveMillis() <= 0) {
            return malformed("timeToLiveMillis must be positive");
        }
        String id = state.grantLease(request.timeToLiveMillis());
        return JsonReply.ok(new LeaseAnswer(id, request.timeToLiveMillis()));
    }

    private JsonReply renewLease(String id) {
        OptionalLong timeToLive = state.renewLease(id);
        return timeToLive.isPresent()
                ? JsonReply.ok(new LeaseAnswer(id, timeToLive.getAsLong()))
                : JsonReply.empty(404);
    }

    private JsonReply control(JsonRequest request) throws MalformedRequestException {
        switch (request.route()) {
            case "GET /stand-in/calls":
                return JsonReply.ok(calls());
            case "POST /stand-in/faults":
                changeFaults(request.body(PlatformFaults.Change.class));
                return JsonReply.empty(200);
            case "PUT /stand-in/virtual-machines":
                MachineList list = request.body(MachineList.class);
                state.listMachines(list.virtualMachines() == null ? List.of() : list.virtualMachines());
                return JsonReply.empty(200);
            default:
                return JsonReply.of(404, ErrorBody.of("unknown-call"));
        }
    }

    private static JsonReply swapReply(PlatformState.SwapResult result) {
        return JsonReply.of(result.applied() ? 200 : 409, new Revision(result.revision()));
    }

    private static JsonReply malformed(@Nullable String detail) {
        return JsonReply.of(400, new ErrorBody("malformed-request", null, detail));
    }

    /** Builds a {@link PlatformStandIn}. Not safe for use by several threads. */
    public static final class Builder {
        private int port;
        private long virtualMachineLagMillis;

        private Builder() {}

        /** Sets the port, 0 for any free one. */
        public Builder port(int value) {
            checkArgument(value >= 0 && value < 65_536, "port must be from 0 to 65535, was %s", value);
            this.port = value;
            return this;
        }

        /** Sets how late changes of the list of virtual machines become visible. */
        public Builder virtualMachineLagMillis(long value) {
            checkArgument(value >= 0, "virtualMachineLagMillis must not be negative, was %s", value);
            this.virtualMachineLagMillis = value;
            return this;
        }

        /** Starts the stand-in. */
        public PlatformStandIn start() {
            return new PlatformStandIn(this);
        }
    }
}
