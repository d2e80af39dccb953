package org.banyanhook.gateway.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.gateway.port.RecordStore;
import org.banyanhook.gateway.port.StorePage;

/** A record store whose calls are answered by the test. */
public final class ScriptedRecordStore implements RecordStore {

    private final List<CompletableFuture<StorePage>> lists = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private final List<CompletableFuture<Long>> openedLeases = new ArrayList<>();
    private final List<CompletableFuture<Long>> writes = new ArrayList<>();
    private final List<CompletableFuture<Void>> renewals = new ArrayList<>();
    private final List<Long> endedLeases = new ArrayList<>();
    private final List<Long> expectedRevisions = new ArrayList<>();
    private boolean answersAtOnce;
    private long lastNumber = 1_000;

    /** A watch that was requested. */
    public record Watch(long afterRevision, CompletableFuture<StorePage> answer) {}

    /** Executes writes, renewals and new leases at once from now on. */
    public void answerAtOnce() {
        answersAtOnce = true;
    }

    /** Returns the revisions that guarded writes required of their records. */
    public List<Long> expectedRevisions() {
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
    public List<CompletableFuture<Long>> openedLeases() {
        return openedLeases;
    }

    /** Returns the writes that were requested. */
    public List<CompletableFuture<Long>> writes() {
        return writes;
    }

    /** Returns the renewals that were requested. */
    public List<CompletableFuture<Void>> renewals() {
        return renewals;
    }

    /** Returns the leases that were ended. */
    public List<Long> endedLeases() {
        return endedLeases;
    }

    @Override
    public CompletableFuture<StorePage> list(String prefix, Optional<String> afterKey) {
        return add(lists);
    }

    @Override
    public CompletableFuture<StorePage> watch(String prefix, long afterRevision, Duration maximumWait) {
        CompletableFuture<StorePage> answer = new CompletableFuture<>();
        watches.add(new Watch(afterRevision, answer));
        return answer;
    }

    @Override
    public CompletableFuture<Long> put(String key, byte[] value, OptionalLong expectedRevision, long lease) {
        return number(writes);
    }

    @Override
    public CompletableFuture<Long> putGuarded(
            String key, byte[] value, long expectedRevision, String guardKey, long guardRevision) {
        expectedRevisions.add(expectedRevision);
        return number(writes);
    }

    @Override
    public CompletableFuture<Long> openLease(Duration timeToLive) {
        return number(openedLeases);
    }

    @Override
    public CompletableFuture<Void> renewLease(long lease) {
        CompletableFuture<Void> renewal = add(renewals);
        if (answersAtOnce) {
            renewal.complete(null);
        }
        return renewal;
    }

    @Override
    public CompletableFuture<Void> endLease(long lease) {
        endedLeases.add(lease);
        return CompletableFuture.completedFuture(null);
    }

    private CompletableFuture<Long> number(List<CompletableFuture<Long>> calls) {
        CompletableFuture<Long> call = add(calls);
        if (answersAtOnce) {
            call.complete(++lastNumber);
        }
        return call;
    }

    private static <T> CompletableFuture<T> add(List<CompletableFuture<T>> calls) {
        CompletableFuture<T> call = new CompletableFuture<>();
        calls.add(call);
        return call;
    }
}
