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

/** One key of the platform's service in memory, with outages, lost answers and a count of waiting watches. */
public final class FakePlatform {

    private final Set<String> cutOff = new HashSet<>();
    private final List<CompletableFuture<Void>> changes = new ArrayList<>();
    private StoredValue value = new StoredValue(PlatformWatch.CONFIGURATION_KEY, "", 0);
    private boolean down;
    private int answersToLose;
    private int waitingWatches;
    private int mostWaitingWatches;

    public synchronized void store(String text) {
        value = new StoredValue(value.key(), text, value.revision() + 1);
        changes.forEach(change -> change.complete(null));
        changes.clear();
    }

    public synchronized String text() {
        return value.value();
    }

    public synchronized void setDown(boolean nowDown) {
        down = nowDown;
    }

    public synchronized void cutOff(String failureDomain, boolean cut) {
        if (cut) {
            cutOff.add(failureDomain);
        } else {
            cutOff.remove(failureDomain);
        }
    }

    public synchronized void loseAnswers(int count) {
        answersToLose = count;
    }

    public synchronized int mostWaitingWatches() {
        return mostWaitingWatches;
    }

    public PlatformClient clientOf(String failureDomain) {
        return new Client(failureDomain);
    }

    private synchronized void failIfDown(String failureDomain) throws PlatformException {
        if (down || cutOff.contains(failureDomain)) {
            throw new PlatformException(Kind.UNAVAILABLE, "down");
        }
    }

    private synchronized Optional<StoredValue> newerThan(long revision) {
        return value.revision() > revision ? Optional.of(value) : Optional.empty();
    }

    private synchronized long swap(String text, long expected) throws PlatformException {
        if (value.revision() != expected) {
            throw new PlatformException(Kind.CONFLICT, "revision " + value.revision());
        }
        store(text);
        if (answersToLose > 0) {
            answersToLose--;
            throw new PlatformException(Kind.UNAVAILABLE, "answer lost");
        }
        return value.revision();
    }

    private synchronized CompletableFuture<Void> nextChange(Duration wait) {
        CompletableFuture<Void> change = new CompletableFuture<>();
        changes.add(change);
        waitingWatches++;
        mostWaitingWatches = Math.max(mostWaitingWatches, waitingWatches);
        return change.completeOnTimeout(null, wait.toMillis(), TimeUnit.MILLISECONDS)
                .whenComplete((done, problem) -> endWatch());
    }

    private synchronized void endWatch() {
        waitingWatches--;
    }

    private final class Client implements PlatformClient {
        private final String failureDomain;

        Client(String failureDomain) {
            this.failureDomain = failureDomain;
        }

        @Override
        public CompletableFuture<Optional<StoredValue>> read(String key) {
            return call(() -> newerThan(0));
        }

        @Override
        public CompletableFuture<Long> compareAndSwap(String key, String text, long expectedRevision) {
            return call(() -> swap(text, expectedRevision));
        }

        @Override
        public CompletableFuture<Optional<StoredValue>> watch(String key, long afterRevision, Duration wait) {
            return call(() -> newerThan(afterRevision)).thenCompose(newer -> {
                if (newer.isPresent()) {
                    return CompletableFuture.completedFuture(newer);
                }
                return nextChange(wait).thenCompose(done -> call(() -> newerThan(afterRevision)));
            });
        }

        @Override
        public CompletableFuture<List<VirtualMachine>> virtualMachines() {
            return CompletableFuture.completedFuture(List.of());
        }

        private <T> CompletableFuture<T> call(PlatformCall<T> call) {
            return CompletableFuture.supplyAsync(() -> null).thenCompose(none -> {
                try {
                    failIfDown(failureDomain);
                    return CompletableFuture.completedFuture(call.run());
                } catch (PlatformException exception) {
                    return CompletableFuture.failedFuture(exception);
                }
            });
        }
    }

    /** One call. */
    @FunctionalInterface
    private interface PlatformCall<T> {
        T run() throws PlatformException;
    }
}
