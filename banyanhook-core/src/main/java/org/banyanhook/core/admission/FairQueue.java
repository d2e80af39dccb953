package org.banyanhook.core.admission;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A bounded queue that is fair between client accounts by weighted deficit round robin.
 *
 * <p>Every item costs one unit. In each round, up to {@code weight} items of an account with waiting items are served.
 * A full queue displaces the newest item of the account with the longest queue relative to its weight, so that an
 * account that floods the queue cannot block the others. Items whose deadline has passed are never returned by
 * {@link #poll}.
 *
 * <p>Not safe for use by several threads. Times are nanoseconds of one monotonic clock.
 *
 * @param <T> the type of queued items
 */
public final class FairQueue<T> {

    private final int capacity;
    private final int accountCapacity;
    private final Map<String, AccountQueue<T>> queues = new HashMap<>();
    private final ArrayDeque<AccountQueue<T>> active = new ArrayDeque<>();
    private final ArrayDeque<T> expired = new ArrayDeque<>();
    private int size;

    /**
     * Creates an empty queue.
     *
     * @param capacity the maximum number of waiting items, greater than 0
     * @param accountCapacity the maximum number of waiting items of one account, greater than 0
     * @throws IllegalArgumentException if a capacity is not positive
     */
    public FairQueue(int capacity, int accountCapacity) {
        checkArgument(capacity > 0, "capacity must be positive, was %s", capacity);
        checkArgument(accountCapacity > 0, "accountCapacity must be positive, was %s", accountCapacity);
        this.capacity = capacity;
        this.accountCapacity = accountCapacity;
    }

    /** Returns the number of waiting items, including those whose deadline has passed. */
    public int size() {
        return size;
    }

    /**
     * Offers an item.
     *
     * @param account the client account that the item belongs to
     * @param weight the weight of the account, greater than 0
     * @param item the item to queue
     * @param deadlineNanos when the item expires
     * @param nowNanos the current time
     * @return whether the item was queued, the reason, and the displaced item if any
     */
    public AdmissionDecision<T> offer(String account, int weight, T item, long deadlineNanos, long nowNanos) {
        requireNonNull(account, "account");
        requireNonNull(item, "item");
        checkArgument(weight > 0, "weight of account %s must be positive, was %s", account, weight);
        if (deadlineNanos - nowNanos <= 0) {
            return AdmissionDecision.of(AdmissionDecision.Reason.DEADLINE_PASSED);
        }
        if (waitingCount(account) >= accountCapacity) {
            return AdmissionDecision.of(AdmissionDecision.Reason.ACCOUNT_LIMIT);
        }
        if (size < capacity) {
            enqueue(account, weight, item, deadlineNanos);
            return AdmissionDecision.of(AdmissionDecision.Reason.ROOM);
        }
        return offerToFullQueue(account, weight, item, deadlineNanos);
    }

    /**
     * Removes and returns the next item.
     *
     * @param nowNanos the current time
     * @return the next item in turn, or empty if no item waits within its deadline
     */
    public Optional<T> poll(long nowNanos) {
        while (!active.isEmpty()) {
            AccountQueue<T> queue = active.getFirst();
            if (queue.isTurnOver()) {
                endTurn(queue);
                continue;
            }
            Optional<T> item = queue.pollUnexpired(nowNanos, this::collectExpired);
            if (queue.isTurnOver()) {
                endTurn(queue);
            }
            if (item.isPresent()) {
                size--;
                return item;
            }
        }
        return Optional.empty();
    }

    /**
     * Removes and returns the next item of one account out of turn, for a resource that serves this account at lower
     * cost. The item counts against the account's next turn, so that other accounts still get their share.
     *
     * @param account the client account
     * @param nowNanos the current time
     * @return the oldest item of the account within its deadline, or empty if there is none
     */
    public Optional<T> poll(String account, long nowNanos) {
        AccountQueue<T> queue = queues.get(account);
        if (queue == null) {
            return Optional.empty();
        }
        Optional<T> item = queue.pollUnexpired(nowNanos, this::collectExpired);
        if (item.isPresent()) {
            size--;
        }
        if (queue.isEmpty()) {
            removeQueue(queue);
        }
        return item;
    }

    /**
     * Removes every item whose deadline has passed, including those that {@link #poll} skipped.
     *
     * @param nowNanos the current time
     * @return the removed items, which have to be refused as not run
     */
    public List<T> removeExpired(long nowNanos) {
        for (AccountQueue<T> queue : ImmutableList.copyOf(active)) {
            queue.removeExpired(nowNanos, this::collectExpired);
            if (queue.isEmpty()) {
                removeQueue(queue);
            }
        }
        List<T> removed = ImmutableList.copyOf(expired);
        expired.clear();
        return removed;
    }

    /**
     * Adds an item without a limit, before the items of the same account whose order is later.
     *
     * @param account the client account
     * @param weight the weight of the account, greater than 0
     * @param item the item to queue
     * @param deadlineNanos when the item expires
     * @param orderNanos the position among the items of the account, as a time
     */
    void addInOrder(String account, int weight, T item, long deadlineNanos, long orderNanos) {
        AccountQueue<T> queue = queues.computeIfAbsent(account, AccountQueue::new);
        boolean wasIdle = queue.isEmpty();
        queue.addInOrder(weight, new Entry<>(item, deadlineNanos, orderNanos));
        size++;
        if (wasIdle) {
            queue.startTurn();
            active.addLast(queue);
        }
    }

    /** Puts back an item that was polled and not served, behind all others of its account. */
    void requeue(String account, int weight, T item, long deadlineNanos, long orderNanos) {
        AccountQueue<T> queue = queues.get(account);
        long lastOrderNanos = queue == null ? orderNanos : queue.lastOrderNanos(orderNanos);
        addInOrder(account, weight, item, deadlineNanos, lastOrderNanos);
    }

    /** Puts back an item that was polled and not served: it is the next one again. */
    void restore(String account, int weight, T item, long deadlineNanos, long orderNanos) {
        AccountQueue<T> queue = queues.computeIfAbsent(account, AccountQueue::new);
        queue.restore(weight, new Entry<>(item, deadlineNanos, orderNanos));
        size++;
        active.remove(queue);
        active.addFirst(queue);
    }

    /** Removes and returns the last item of an account that has one. */
    T removeNewest(String account) {
        AccountQueue<T> queue = requireNonNull(queues.get(account), account);
        T removed = queue.removeNewest();
        size--;
        if (queue.isEmpty()) {
            removeQueue(queue);
        }
        return removed;
    }

    /** Calls a visitor for each account with waiting items, in the order of their turns. */
    void forEachAccount(AccountVisitor visitor) {
        for (AccountQueue<T> queue : active) {
            visitor.visit(queue.account(), queue.weight, queue.size());
        }
    }

    /** Receives the accounts with waiting items. */
    @FunctionalInterface
    interface AccountVisitor {
        void visit(String account, int weight, int waiting);
    }

    /** Returns the number of waiting items of an account. */
    public int waitingCount(String account) {
        AccountQueue<T> queue = queues.get(account);
        return queue == null ? 0 : queue.size();
    }

    private AdmissionDecision<T> offerToFullQueue(String account, int weight, T item, long deadlineNanos) {
        AccountQueue<T> longest = longestQueue();
        double offeredLoad = (waitingCount(account) + 1) / (double) weight;
        if (longest.account().equals(account) || offeredLoad >= longest.load()) {
            return AdmissionDecision.of(AdmissionDecision.Reason.OWN_QUEUE_LONGEST);
        }
        T displaced = longest.removeNewest();
        size--;
        if (longest.isEmpty()) {
            removeQueue(longest);
        }
        enqueue(account, weight, item, deadlineNanos);
        return AdmissionDecision.displacing(displaced);
    }

    private AccountQueue<T> longestQueue() {
        return active.stream()
                .max(Comparator.comparingDouble(AccountQueue::load))
                .orElseThrow(() -> new IllegalStateException("the queue is full but has no active account"));
    }

    private void enqueue(String account, int weight, T item, long deadlineNanos) {
        AccountQueue<T> queue = queues.computeIfAbsent(account, AccountQueue::new);
        boolean wasIdle = queue.isEmpty();
        queue.add(weight, item, deadlineNanos);
        size++;
        if (wasIdle) {
            queue.startTurn();
            active.addLast(queue);
        }
    }

    private void endTurn(AccountQueue<T> queue) {
        active.removeFirst();
        if (queue.isEmpty()) {
            queues.remove(queue.account());
            return;
        }
        queue.startTurn();
        active.addLast(queue);
    }

    private void removeQueue(AccountQueue<T> queue) {
        active.remove(queue);
        queues.remove(queue.account());
    }

    private void collectExpired(T item) {
        size--;
        expired.add(item);
    }

    /** The items of one account, oldest first. */
    private static final class AccountQueue<T> {
        private final String account;
        private final ArrayDeque<Entry<T>> entries = new ArrayDeque<>();
        private int weight = 1;
        private int deficit;

        AccountQueue(String account) {
            this.account = account;
        }

        String account() {
            return account;
        }

        int size() {
            return entries.size();
        }

        boolean isEmpty() {
            return entries.isEmpty();
        }

        double load() {
            return entries.size() / (double) weight;
        }

        void startTurn() {
            deficit = Math.min(weight, deficit + weight);
        }

        boolean isTurnOver() {
            return deficit <= 0 || entries.isEmpty();
        }

        void add(int newWeight, T item, long deadlineNanos) {
            weight = newWeight;
            entries.addLast(new Entry<>(item, deadlineNanos, 0));
        }

        /** Returns the order of the last item, at least the given one. */
        long lastOrderNanos(long orderNanos) {
            Entry<T> last = entries.peekLast();
            return last == null || last.orderNanos() - orderNanos < 0 ? orderNanos : last.orderNanos();
        }

        void addInOrder(int newWeight, Entry<T> entry) {
            weight = newWeight;
            ArrayDeque<Entry<T>> later = new ArrayDeque<>(0);
            while (!entries.isEmpty() && entries.getLast().orderNanos() - entry.orderNanos() > 0) {
                later.addFirst(entries.removeLast());
            }
            entries.addLast(entry);
            entries.addAll(later);
        }

        void restore(int newWeight, Entry<T> entry) {
            weight = newWeight;
            entries.addFirst(entry);
            deficit = Math.min(weight, Math.max(0, deficit) + 1);
        }

        T removeNewest() {
            return entries.removeLast().item();
        }

        Optional<T> pollUnexpired(long nowNanos, Consumer<T> expiredReceiver) {
            while (!entries.isEmpty()) {
                Entry<T> oldest = entries.removeFirst();
                if (!oldest.isExpired(nowNanos)) {
                    deficit--;
                    return Optional.of(oldest.item());
                }
                expiredReceiver.accept(oldest.item());
            }
            return Optional.empty();
        }

        void removeExpired(long nowNanos, Consumer<T> expiredReceiver) {
            Iterator<Entry<T>> iterator = entries.iterator();
            while (iterator.hasNext()) {
                Entry<T> entry = iterator.next();
                if (entry.isExpired(nowNanos)) {
                    iterator.remove();
                    expiredReceiver.accept(entry.item());
                }
            }
        }
    }

    private record Entry<T>(T item, long deadlineNanos, long orderNanos) {
        boolean isExpired(long nowNanos) {
            return deadlineNanos - nowNanos <= 0;
        }
    }
}
