package org.banyanhook.core.admission;

import java.util.List;
import java.util.Optional;
import org.banyanhook.core.admission.PriorityFairQueue.Waiting;
import org.jspecify.annotations.Nullable;

/**
 * The waiting items of one priority: those that can still be answered within their objective, and the late ones. Each
 * part is fair between accounts, and ordered by the objective within an account.
 */
final class PriorityLevel<T> {

    private final int priority;
    private final FairQueue<Waiting<T>> timely = new FairQueue<>(Integer.MAX_VALUE, Integer.MAX_VALUE);
    private final FairQueue<Waiting<T>> late = new FairQueue<>(Integer.MAX_VALUE, Integer.MAX_VALUE);
    private long lastServed;
    private long lastPolledLate;

    PriorityLevel(int priority) {
        this.priority = priority;
    }

    int priority() {
        return priority;
    }

    int size() {
        return timely.size() + late.size();
    }

    int timelySize() {
        return timely.size();
    }

    int lateSize() {
        return late.size();
    }

    int waitingCount(String account) {
        return timely.waitingCount(account) + late.waitingCount(account);
    }

    long lastServed() {
        return lastServed;
    }

    void recordServed(long sequence) {
        lastServed = sequence;
    }

    long lastPolledLate() {
        return lastPolledLate;
    }

    void recordPolledLate(long sequence) {
        lastPolledLate = sequence;
    }

    void add(Waiting<T> waiting) {
        add(timely, waiting);
    }

    private static <T> void add(FairQueue<Waiting<T>> queue, Waiting<T> waiting) {
        queue.addInOrder(waiting.account(), waiting.weight(), waiting, waiting.deadlineNanos(), waiting.orderNanos());
    }

    void requeue(Waiting<T> waiting, long nowNanos) {
        FairQueue<Waiting<T>> queue = waiting.serviceClass().isLate(nowNanos) ? late : timely;
        queue.requeue(waiting.account(), waiting.weight(), waiting, waiting.deadlineNanos(), waiting.orderNanos());
    }

    void restore(Waiting<T> waiting, long nowNanos) {
        FairQueue<Waiting<T>> queue = waiting.serviceClass().isLate(nowNanos) ? late : timely;
        queue.restore(waiting.account(), waiting.weight(), waiting, waiting.deadlineNanos(), waiting.orderNanos());
    }

    /** Removes the next item that is not late, of one account or of all; sets aside the late ones before it. */
    Optional<Waiting<T>> pollTimely(@Nullable String account, long nowNanos) {
        Optional<Waiting<T>> next = poll(timely, account, nowNanos);
        while (next.isPresent() && next.get().serviceClass().isLate(nowNanos)) {
            add(late, next.get());
            next = poll(timely, account, nowNanos);
        }
        return next;
    }

    Optional<Waiting<T>> pollLate(@Nullable String account, long nowNanos) {
        return poll(late, account, nowNanos);
    }

    private static <T> Optional<Waiting<T>> poll(FairQueue<Waiting<T>> queue, @Nullable String account, long nowNanos) {
        return account == null ? queue.poll(nowNanos) : queue.poll(account, nowNanos);
    }

    void removeExpired(long nowNanos, List<Waiting<T>> removed) {
        removed.addAll(timely.removeExpired(nowNanos));
        removed.addAll(late.removeExpired(nowNanos));
    }

    /** Removes the newest item of an account that has one, a late one first. */
    Waiting<T> removeNewest(String account) {
        return (late.waitingCount(account) > 0 ? late : timely).removeNewest(account);
    }

    /** Returns the account with the longest queue relative to its weight, of a level that is not empty. */
    Longest longestQueue() {
        Longest longest = new Longest();
        timely.forEachAccount(
                (account, weight, waiting) -> longest.consider(account, waitingCount(account) / (double) weight));
        late.forEachAccount(
                (account, weight, waiting) -> longest.consider(account, waitingCount(account) / (double) weight));
        return longest;
    }

    /**
     * Returns how many items of this level are served before a new one of an account: its own, and as many of each
     * other account as have their turns meanwhile.
     */
    double aheadOf(String account, int weight) {
        double turns = (waitingCount(account) + 1) / (double) weight;
        double[] ahead = {waitingCount(account)};
        FairQueue.AccountVisitor visitor = (other, otherWeight, waiting) -> {
            if (!other.equals(account)) {
                ahead[0] += Math.min(waiting, Math.ceil(turns * otherWeight));
            }
        };
        timely.forEachAccount(visitor);
        return ahead[0];
    }

    /** The account with the longest queue. */
    static final class Longest {
        private String account = "";
        private double load;

        String account() {
            return account;
        }

        double load() {
            return load;
        }

        private void consider(String candidate, double candidateLoad) {
            if (candidateLoad > load) {
                account = candidate;
                load = candidateLoad;
            }
        }
    }
}
