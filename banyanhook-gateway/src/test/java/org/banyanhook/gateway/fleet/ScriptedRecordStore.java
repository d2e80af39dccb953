package org.banyanhook.gateway.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import java.util.function.LongFunction;
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.gateway.port.RecordStore;
import org.banyanhook.gateway.port.StoreLease;
import org.banyanhook.gateway.port.StorePage;

/** A record store whose calls are answered by the test. */
public final class ScriptedRecordStore implements RecordStore {

    private final List<CompletableFuture<StorePage>> lists = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private final List<CompletableFuture<StoreLease>> openedLeases = new ArrayList<>();
    private final List<CompletableFuture<StoreRevision>> writes = new ArrayList<>();
    private final List<CompletableFuture<Void>> renewals = new ArrayList<>();
    private final List<StoreLease> endedLeases = new ArrayList<>();
    private final List<StoreRevision> expectedRevisions = new ArrayList<>();
    private boolean answersAtOnce;
    private LongConsumer eraListener = era -> {};
    private long era;
    private long lastNumber = 1_000;

    /** A watch that was requested. */
    public record Watch(StoreRevision afterRevision, CompletableFuture<StorePage> answer) {}

    /** Executes writes, renewals and new leases at once from now on. */
    public void answerAtOnce() {
        answersAtOnce = true;
    }

    /** Shows the era of an answer, and issues revisions and leases of that era from now on. */
    public void showEra(long newEra) {
        era = newEra;
        eraListener.accept(newEra);
    }

    /** Returns the revisions that writes required of their records; of guarded writes also that none exists. */
    public List<StoreRevision> expectedRevisions() {
        return expectedRevisions;
    }

    /** Returns the listings that were requested. */
    public List<CompletableFuture<StorePage>> lists() {
        return lists;
    }

    /** Returns the watches that were requested. */
    public List<Watch> watches() {
        return watches;
    }

    /** Returns the leases that were requested. */
    public List<CompletableFuture<StoreLease>> openedLeases() {
        return openedLeases;
    }

    /** Returns the writes that were requested. */
    public List<CompletableFuture<StoreRevision>> writes() {
        return writes;
    }

    /** Returns the renewals that were requested. */
    public List<CompletableFuture<Void>> renewals() {
        return renewals;
    }

    /** Returns the leases that were ended. */
    public List<StoreLease> endedLeases() {
        return endedLeases;
    }

    @Override
    public void onEra(LongConsumer listener) {
        eraListener = listener;
    }

    @Override
    public CompletableFuture<StorePage> list(String prefix, Optional<String> afterKey) {
        return add(lists);
    }

    @Override
    public CompletableFuture<StorePage> watch(String prefix, StoreRevision afterRevision, Duration maximumWait) {
        CompletableFuture<StorePage> answer = new CompletableFuture<>();
        watches.add(new Watch(afterRevision, answer));
        return answer;
    }

    @Override
    public CompletableFuture<StoreRevision> put(
            String key, byte[] value, Optional<StoreRevision> expectedRevision, StoreLease lease) {
        expectedRevision
                .filter(revision -> revision.isAfter(StoreRevision.NONE))
                .ifPresent(expectedRevisions::add);
        return number(writes, number -> new StoreRevision(era, number));
    }

    @Override
    public CompletableFuture<StoreRevision> putGuarded(
            String key, byte[] value, StoreRevision expectedRevision, Map<String, StoreRevision> guards) {
        expectedRevisions.add(expectedRevision);
        return number(writes, number -> new StoreRevision(era, number));
    }

    @Override
    public CompletableFuture<StoreLease> openLease(Duration timeToLive) {
        return number(openedLeases, number -> new StoreLease(era, number));
    }

    @Override
    public CompletableFuture<Void> renewLease(StoreLease lease) {
        CompletableFuture<Void> renewal = add(renewals);
        if (answersAtOnce) {
            renewal.complete(null);
        }
        return renewal;
    }

    @Override
    public CompletableFuture<Void> endLease(StoreLease lease) {
        endedLeases.add(lease);
        return CompletableFuture.completedFuture(null);
    }

    private <T> CompletableFuture<T> number(List<CompletableFuture<T>> calls, LongFunction<T> answer) {
        CompletableFuture<T> call = add(calls);
        if (answersAtOnce) {
            call.complete(answer.apply(++lastNumber));
        }
        return call;
    }

    private static <T> CompletableFuture<T> add(List<CompletableFuture<T>> calls) {
        CompletableFuture<T> call = new CompletableFuture<>();
        calls.add(call);
        return call;
    }
}
