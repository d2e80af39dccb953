package org.banyanhook.gateway.fleet;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.ToLongFunction;
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.gateway.port.RecordStore;
import org.banyanhook.gateway.port.StoreException;
import org.banyanhook.gateway.port.StoreLease;
import org.banyanhook.gateway.port.StorePage;

/**
 * A store whose calls use no revision and no lease of an older era, and whose answers count only if they are of the
 * newest era. The store itself cannot tell a revision or a lease of an older era from one that it has issued since.
 */
public final class EraCheckedStore implements RecordStore {

    private final RecordStore store;
    private final StoreEras eras;

    /**
     * Creates a store.
     *
     * @param store executes the calls
     * @param eras learns the era of each answer
     */
    public EraCheckedStore(RecordStore store, StoreEras eras) {
        this.store = store;
        this.eras = eras;
        store.onEra(eras::observe);
    }

    @Override
    public CompletableFuture<StorePage> list(String prefix, Optional<String> afterKey) {
        return checkAnswer(store.list(prefix, afterKey), page -> page.revision().era(), () -> false);
    }

    @Override
    public CompletableFuture<StorePage> watch(String prefix, StoreRevision afterRevision, Duration maximumWait) {
        return isOutdated(afterRevision)
                ? refused(StoreException.Kind.HISTORY_LOST, "revision", afterRevision.era())
                : checkAnswer(
                        store.watch(prefix, afterRevision, maximumWait),
                        page -> page.revision().era(),
                        () -> isOutdated(afterRevision));
    }

    @Override
    public CompletableFuture<StoreRevision> put(
            String key, byte[] value, Optional<StoreRevision> expectedRevision, StoreLease lease) {
        if (isOutdated(lease)) {
            return refused(StoreException.Kind.LEASE_ENDED, "lease", lease.era());
        }
        StoreRevision expected = expectedRevision.orElse(StoreRevision.NONE);
        return isOutdated(expected)
                ? refused(StoreException.Kind.CONFLICT, "revision", expected.era())
                : checkAnswer(
                        store.put(key, value, expectedRevision, lease),
                        StoreRevision::era,
                        () -> isOutdated(lease) || isOutdated(expected));
    }

    @Override
    public CompletableFuture<StoreRevision> putGuarded(
            String key, byte[] value, StoreRevision expectedRevision, Map<String, StoreRevision> guards) {
        List<StoreRevision> required = ImmutableList.<StoreRevision>builder()
                .add(expectedRevision)
                .addAll(guards.values())
                .build();
        BooleanSupplier outdated = () -> required.stream().anyMatch(this::isOutdated);
        return outdated.getAsBoolean()
                ? refused(
                        StoreException.Kind.CONFLICT,
                        "revision",
                        required.stream()
                                .filter(this::isOutdated)
                                .mapToLong(StoreRevision::era)
                                .min()
                                .orElse(0))
                : checkAnswer(store.putGuarded(key, value, expectedRevision, guards), StoreRevision::era, outdated);
    }

    @Override
    public CompletableFuture<StoreLease> openLease(Duration timeToLive) {
        return checkAnswer(store.openLease(timeToLive), StoreLease::era, () -> false);
    }

    @Override
    public CompletableFuture<Void> renewLease(StoreLease lease) {
        if (isOutdated(lease)) {
            return refused(StoreException.Kind.LEASE_ENDED, "lease", lease.era());
        }
        return store.renewLease(lease)
                .thenCompose(done -> isOutdated(lease)
                        ? refused(StoreException.Kind.LEASE_ENDED, "lease", lease.era())
                        : CompletableFuture.completedFuture(done));
    }

    @Override
    public CompletableFuture<Void> endLease(StoreLease lease) {
        return isOutdated(lease)
                ? refused(StoreException.Kind.LEASE_ENDED, "lease", lease.era())
                : store.endLease(lease);
    }

    private boolean isOutdated(StoreRevision revision) {
        return !revision.equals(StoreRevision.NONE) && revision.era() < eras.newest();
    }

    private boolean isOutdated(StoreLease lease) {
        return !lease.isNone() && lease.era() < eras.newest();
    }

    /**
     * Turns an answer of an older era, or an answer to a call whose arguments have become outdated, into a missing
     * answer: what was written may be lost, or may have been written in the new era under a condition of the old one.
     */
    private <T> CompletableFuture<T> checkAnswer(
            CompletableFuture<T> answer, ToLongFunction<T> eraOf, BooleanSupplier argumentsOutdated) {
        return answer.thenCompose(
                result -> eraOf.applyAsLong(result) < eras.newest() || argumentsOutdated.getAsBoolean()
                        ? refused(StoreException.Kind.NO_ANSWER, "answer", eraOf.applyAsLong(result))
                        : CompletableFuture.completedFuture(result));
    }

    private <T> CompletableFuture<T> refused(StoreException.Kind kind, String what, long era) {
        return CompletableFuture.failedFuture(
                new StoreException(kind, what + " of era " + era + " of the store, which is in era " + eras.newest()));
    }
}
