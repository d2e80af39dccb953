package org.banyanhook.daemon.rate;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.rate.AllotmentRecord;
import org.banyanhook.daemon.membership.EntryVm;
import org.banyanhook.daemon.peer.PeerException;
import org.banyanhook.daemon.peer.PeerMessageHandler;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.daemon.platform.PlatformClient;
import org.banyanhook.daemon.platform.PlatformException;
import org.banyanhook.daemon.platform.StoredValue;
import org.banyanhook.daemon.platform.VirtualMachine;
import org.banyanhook.protocol.generated.PeerEnvelope;

/** In-memory platform and peer connections of a small fleet. Thread-safe. */
final class InMemoryFleet implements PlatformClient {

    private final Map<String, Map<PeerEnvelope.BodyCase, PeerMessageHandler>> handlers = new ConcurrentHashMap<>();
    private final Set<String> isolated = ConcurrentHashMap.newKeySet();
    private final List<EntryVm> members = new CopyOnWriteArrayList<>();
    private volatile List<EntryVm> snapshot = List.of();
    private volatile boolean unavailable;
    private volatile int swapResponsesToLose;
    private String value = "";
    private long revision;

    void addMember(String name) {
        members.add(new EntryVm(name, "ulsan-a", name, false));
        snapshot = List.copyOf(members);
    }

    void removeMember(String name) {
        members.removeIf(member -> member.name().equals(name));
        snapshot = List.copyOf(members);
    }

    List<EntryVm> members() {
        return snapshot;
    }

    void unavailable(boolean newValue) {
        unavailable = newValue;
    }

    void loseSwapResponses(int count) {
        swapResponsesToLose = count;
    }

    void isolate(String name) {
        isolated.add(name);
    }

    synchronized void setRecord(String newValue) {
        value = newValue;
        revision++;
    }

    synchronized String storedRecord() {
        return value;
    }

    /** Returns the units of an entry VM in the first group of the record, or 0 if it has no entry. */
    synchronized int units(String name) {
        try {
            return value.isEmpty() ? 0 : AllotmentRecordCodec.decode(value).units(name, 0);
        } catch (PlatformException exception) {
            throw new AssertionError(exception);
        }
    }

    synchronized boolean hasEntry(String name) throws PlatformException {
        AllotmentRecord record = value.isEmpty() ? AllotmentRecord.EMPTY : AllotmentRecordCodec.decode(value);
        return record.entry(name).isPresent();
    }

    PeerMessenger messenger(String name) {
        Map<PeerEnvelope.BodyCase, PeerMessageHandler> own = new ConcurrentHashMap<>();
        handlers.put(name, own);
        return new PeerMessenger() {
            @Override
            public CompletableFuture<PeerEnvelope> request(String peerAddress, PeerEnvelope body, Duration timeout) {
                PeerMessageHandler handler =
                        handlers.getOrDefault(peerAddress, Map.of()).get(body.getBodyCase());
                if (handler == null || isolated.contains(peerAddress) || isolated.contains(name)) {
                    return CompletableFuture.failedFuture(new PeerException("isolated by the test", false));
                }
                return handler.handle(body.toBuilder().setSenderEntryVm(name).build())
                        .thenApply(reply ->
                                reply.toBuilder().setSenderEntryVm(peerAddress).build());
            }

            @Override
            public void send(String peerAddress, PeerEnvelope body) {
                throw new UnsupportedOperationException("the rate limiter sends no one-way messages");
            }

            @Override
            public void registerHandler(PeerEnvelope.BodyCase kind, PeerMessageHandler handler) {
                own.put(kind, handler);
            }
        };
    }

    @Override
    public synchronized CompletableFuture<Optional<StoredValue>> read(String key) {
        if (unavailable) {
            return unavailableFailure();
        }
        return CompletableFuture.completedFuture(
                value.isEmpty() ? Optional.empty() : Optional.of(new StoredValue(key, value, revision)));
    }

    @Override
    public synchronized CompletableFuture<Long> compareAndSwap(String key, String newValue, long expectedRevision) {
        if (unavailable) {
            return unavailableFailure();
        }
        if (expectedRevision != revision) {
            return CompletableFuture.failedFuture(
                    new PlatformException(PlatformException.Kind.CONFLICT, "revision " + revision));
        }
        value = newValue;
        revision++;
        if (swapResponsesToLose > 0) {
            swapResponsesToLose--;
            return unavailableFailure();
        }
        return CompletableFuture.completedFuture(revision);
    }

    @Override
    public CompletableFuture<Optional<StoredValue>> watch(String key, long afterRevision, Duration wait) {
        return CompletableFuture.supplyAsync(
                        () -> read(key), CompletableFuture.delayedExecutor(50, TimeUnit.MILLISECONDS))
                .thenCompose(read -> read)
                .thenApply(found -> found.filter(stored -> stored.revision() > afterRevision));
    }

    @Override
    public CompletableFuture<List<VirtualMachine>> virtualMachines() {
        return CompletableFuture.completedFuture(snapshot.stream()
                .map(member -> new VirtualMachine(
                        member.name(), "entry", member.failureDomain(), member.peerAddress(), "live"))
                .toList());
    }

    private static <T> CompletableFuture<T> unavailableFailure() {
        return CompletableFuture.failedFuture(
                new PlatformException(PlatformException.Kind.UNAVAILABLE, "no response; retry later"));
    }
}
