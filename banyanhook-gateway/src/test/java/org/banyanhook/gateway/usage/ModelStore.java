package org.banyanhook.gateway.usage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.gateway.port.RecordStore;
import org.banyanhook.gateway.port.StoreException;
import org.banyanhook.gateway.port.StoreLease;
import org.banyanhook.gateway.port.StorePage;
import org.banyanhook.gateway.port.StoreRecord;
import org.jspecify.annotations.Nullable;

/** A record store in virtual time that refuses calls, loses answers and executes writes late. */
final class ModelStore {

    private static final long TIMEOUT_MILLIS = 1_500;

    private final UsageFleetModel model;
    private final TreeMap<String, StoreRecord> records = new TreeMap<>();
    private final Map<StoreLease, Long> expiryMillisByLease = new HashMap<>();
    private long revision = 100;
    private long lastLease = 10;
    private long downUntilMillis;
    private long calls;

    /** Executes a call. */
    @FunctionalInterface
    private interface Call<T> {
        @Nullable
        T execute() throws StoreException;
    }

    ModelStore(UsageFleetModel model) {
        this.model = model;
    }

    /** Returns how many calls the daemons have made. */
    long calls() {
        return calls;
    }

    void goDown(long millis) {
        downUntilMillis = model.nowMillis() + millis;
    }

    List<StoreRecord> all() {
        return List.copyOf(records.values());
    }

    byte @Nullable [] value(String key) {
        StoreRecord found = records.get(key);
        return found == null ? null : found.value();
    }

    StoreRevision write(String key, byte[] value, StoreLease lease) {
        StoreRecord written = new StoreRecord(key, nextRevision(), value, lease);
        records.put(key, written);
        model.publish(written);
        return written.revision();
    }

    private StoreRevision nextRevision() {
        return new StoreRevision(0, ++revision);
    }

    void remove(String key, long delayMillis) {
        StoreRecord present = records.get(key);
        model.after(delayMillis, null, () -> {
            if (present != null && present.equals(records.get(key))) {
                records.remove(key);
                model.publish(new StoreRecord(key, nextRevision(), null, StoreLease.NONE));
            }
        });
    }

    private void endLease(StoreLease lease) {
        expiryMillisByLease.remove(lease);
        for (StoreRecord record : all()) {
            if (record.lease().equals(lease)) {
                remove(record.key(), 0);
            }
        }
    }

    private void expireLater(StoreLease lease) {
        model.after(expiryMillisByLease.getOrDefault(lease, 0L) - model.nowMillis(), null, () -> {
            Long expiry = expiryMillisByLease.get(lease);
            if (expiry != null && expiry <= model.nowMillis()) {
                endLease(lease);
            }
        });
    }

    RecordStore clientOf(UsageFleetModel.ModelDaemon daemon) {
        return new Client(daemon);
    }

    private final class Client implements RecordStore {
        private final UsageFleetModel.ModelDaemon daemon;
        private final Map<StoreLease, Long> timeToLive = new HashMap<>();

        private Client(UsageFleetModel.ModelDaemon daemon) {
            this.daemon = daemon;
        }

        private <T> CompletableFuture<T> call(Call<T> call) {
            calls++;
            CompletableFuture<T> answer = new CompletableFuture<>();
            boolean unreachable = daemon.isCutOff() || model.nowMillis() < downUntilMillis;
            boolean lost = unreachable || model.fault();
            boolean answerLost = model.fault();
            boolean refused = model.fault();
            if (!lost && !refused) {
                // A call whose answer is lost may be executed long after its sender has given up.
                int range = answerLost ? 4_000 : model.fault() ? 1_400 : 20;
                model.after(1 + model.random().nextInt(range), null, () -> {
                    try {
                        T result = call.execute();
                        if (!answerLost) {
                            model.after(2, daemon, () -> answer.complete(result));
                        }
                    } catch (StoreException exception) {
                        model.after(2, daemon, () -> answer.completeExceptionally(exception));
                    }
                });
            } else if (!lost) {
                model.after(
                        2,
                        daemon,
                        () -> answer.completeExceptionally(new StoreException(StoreException.Kind.REFUSED, "refused")));
            }
            model.after(
                    TIMEOUT_MILLIS,
                    daemon,
                    () -> answer.completeExceptionally(new StoreException(StoreException.Kind.NO_ANSWER, "no answer")));
            return answer;
        }

        @Override
        public CompletableFuture<StorePage> list(String prefix, Optional<String> afterKey) {
            return call(() -> {
                List<StoreRecord> found = new ArrayList<>(all());
                found.removeIf(record -> !record.key().startsWith(prefix));
                return new StorePage(found, new StoreRevision(0, revision), false);
            });
        }

        @Override
        public CompletableFuture<StorePage> watch(String prefix, StoreRevision afterRevision, Duration maximumWait) {
            throw new UnsupportedOperationException("changes are published");
        }

        @Override
        public CompletableFuture<StoreRevision> put(
                String key, byte[] value, Optional<StoreRevision> expectedRevision, StoreLease lease) {
            return call(() -> {
                StoreRecord present = records.get(key);
                StoreRevision current = present == null ? StoreRevision.NONE : present.revision();
                if (!expectedRevision.orElseThrow().equals(current)) {
                    throw new StoreException(StoreException.Kind.CONFLICT, key);
                }
                if (!lease.isNone() && !expiryMillisByLease.containsKey(lease)) {
                    throw new StoreException(StoreException.Kind.LEASE_ENDED, key);
                }
                return write(key, value, lease);
            });
        }

        @Override
        public CompletableFuture<StoreRevision> putGuarded(
                String key, byte[] value, StoreRevision expectedRevision, Map<String, StoreRevision> guards) {
            throw new UnsupportedOperationException("decisions have one condition");
        }

        @Override
        public CompletableFuture<StoreLease> openLease(Duration duration) {
            return call(() -> {
                StoreLease lease = new StoreLease(0, ++lastLease);
                timeToLive.put(lease, duration.toMillis());
                expiryMillisByLease.put(lease, model.nowMillis() + duration.toMillis());
                expireLater(lease);
                return lease;
            });
        }

        @Override
        public CompletableFuture<Void> renewLease(StoreLease lease) {
            return call(() -> {
                if (!expiryMillisByLease.containsKey(lease)) {
                    throw new StoreException(StoreException.Kind.LEASE_ENDED, "lease " + lease);
                }
                expiryMillisByLease.put(lease, model.nowMillis() + timeToLive.getOrDefault(lease, 0L));
                expireLater(lease);
                return null;
            });
        }

        @Override
        public CompletableFuture<Void> endLease(StoreLease lease) {
            return call(() -> {
                ModelStore.this.endLease(lease);
                return null;
            });
        }
    }
}
