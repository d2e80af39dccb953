package org.banyanhook.daemon.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.banyanhook.daemon.platform.PlatformClient;
import org.banyanhook.daemon.platform.PlatformException;
import org.banyanhook.daemon.platform.PlatformException.Kind;
import org.banyanhook.daemon.platform.StoredValue;
import org.banyanhook.daemon.platform.VirtualMachine;

/** In-memory fake of one key of the platform's service, with outages, dropped responses and a count of open watches. */
public final class FakePlatform {

    private final Set<String> isolatedDomains = new HashSet<>();
    private final List<CompletableFuture<Void>> pendingChanges = new ArrayList<>();
    private StoredValue value = new StoredValue(PlatformWatch.CONFIGURATION_KEY, "", 0);
    private boolean unavailable;
    private int responsesToDrop;
    private int openWatches;
    private int maximumOpenWatches;

    public synchronized void store(String text) {
        value = new StoredValue(value.key(), text, value.revision() + 1);
        pendingChanges.forEach(change -> change.complete(null));
        pendingChanges.clear();
    }

    public synchronized String text() {
        return value.value();
    }

    public synchronized void setUnavailable(boolean nowUnavailable) {
        unavailable = nowUnavailable;
    }

    public synchronized void setIsolated(String failureDomain, boolean isolated) {
        if (isolated) {
            isolatedDomains.add(failureDomain);
        } else {
            isolatedDomains.remove(failureDomain);
        }
    }

    public synchronized void dropResponses(int count) {
        responsesToDrop = count;
    }

    public synchronized int maximumOpenWatches() {
        return maximumOpenWatches;
    }

    public PlatformClient clientFor(String failureDomain) {
        return new Client(failureDomain);
    }

    private synchronized void failIfUnavailable(String failureDomain) throws PlatformException {
        if (unavailable || isolatedDomains.contains(failureDomain)) {
            throw new PlatformException(Kind.UNAVAILABLE, "platform unavailable");
        }
    }

    private synchronized Optional<StoredValue> valueNewerThan(long revision) {
        return value.revision() > revision ? Optional.of(value) : Optional.empty();
    }

    private synchronized long swap(String text, long expected) throws PlatformException {
        if (value.revision() != expected) {
            throw new PlatformException(Kind.CONFLICT, "revision " + value.revision());
        }
        store(text);
        if (responsesToDrop > 0) {
            responsesToDrop--;
            throw new PlatformException(Kind.UNAVAILABLE, "response dropped");
        }
        return value.revision();
    }

    private synchronized CompletableFuture<Void> awaitChange(Duration wait) {
        CompletableFuture<Void> change = new CompletableFuture<>();
        pendingChanges.add(change);
        openWatches++;
        maximumOpenWatches = Math.max(maximumOpenWatches, openWatches);
        return change.completeOnTimeout(null, wait.toMillis(), TimeUnit.MILLISECONDS)
                .whenComplete((done, problem) -> endWatch());
    }

    private synchronized void endWatch() {
        openWatches--;
    }

    private final class Client implements PlatformClient {
        private final String failureDomain;

        Client(String failureDomain) {
            this.failureDomain = failureDomain;
        }

        @Override
        public CompletableFuture<Optional<StoredValue>> read(String key) {
            return call(() -> valueNewerThan(0));
        }

        @Override
        public CompletableFuture<Long> compareAndSwap(String key, String text, long expectedRevision) {
            return call(() -> swap(text, expectedRevision));
        }

        @Override
        public CompletableFuture<Optional<StoredValue>> watch(String key, long afterRevision, Duration wait) {
            return call(() -> valueNewerThan(afterRevision)).thenCompose(newer -> {
                if (newer.isPresent()) {
                    return CompletableFuture.completedFuture(newer);
                }
                return awaitChange(wait).thenCompose(done -> call(() -> valueNewerThan(afterRevision)));
            });
        }

        @Override
        public CompletableFuture<List<VirtualMachine>> virtualMachines() {
            return CompletableFuture.completedFuture(List.of());
        }

        private <T> CompletableFuture<T> call(PlatformCall<T> call) {
            return CompletableFuture.supplyAsync(() -> null).thenCompose(none -> {
                try {
                    failIfUnavailable(failureDomain);
                    return CompletableFuture.completedFuture(call.run());
                } catch (PlatformException exception) {
                    return CompletableFuture.failedFuture(exception);
                }
            });
        }
    }

    /** A call of the platform that may fail. */
    @FunctionalInterface
    private interface PlatformCall<T> {
        T run() throws PlatformException;
    }
}
