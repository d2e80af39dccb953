package org.banyanhook.core.admission;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.banyanhook.core.admission.AdmissionDecision.Reason;
import org.jspecify.annotations.Nullable;

/**
 * A bounded queue ordered by priority and nearness to the latency objective, and fair between client accounts by weight
 * within a priority.
 *
 * <p>Load: more requests arrive than the members can run, and the routes differ in the value of a timely answer. While
 * items of different priorities wait, one in {@value #LOWER_PRIORITY_INTERVAL} served items is of a lower priority than
 * the highest, so that none starves. Items that cannot be answered within their objective any more are served, by
 * priority, when no other item waits. A full queue displaces the newest item of the lowest priority, from the account
 * with the longest queue there. If all items have the class {@link ServiceClass#UNIFORM}, the order and the
 * displacement are those of {@link FairQueue}.
 *
 * <p>Not safe for use by several threads. Times are nanoseconds of one monotonic clock.
 *
 * @param <T> the type of queued items
 */
public final class PriorityFairQueue<T> {

    /** Leaves lower priorities a fifth of the service; an item of the highest one waits for one item more at most. */
    static final int LOWER_PRIORITY_INTERVAL = 5;

    private final int capacity;
    private final int accountCapacity;
    private final TreeMap<Integer, PriorityLevel<T>> levels = new TreeMap<>();
    private long served;
    private int passedOver;
    private long polledLate;

    /**
     * A waiting item.
     *
     * @param <T> the type of the item
     * @param item the item
     * @param account the client account that the item belongs to
     * @param weight the weight of the account, greater than 0
     * @param serviceClass the priority and the objective
     * @param deadlineNanos when the item expires
     */
    public record Waiting<T>(T item, String account, int weight, ServiceClass serviceClass, long deadlineNanos) {
        public Waiting {
            checkArgument(weight > 0, "weight of account %s must be positive, was %s", account, weight);
        }

        long orderNanos() {
            return serviceClass.latestStartNanos();
        }
    }

    /**
     * Creates an empty queue.
     *
     * @param capacity the maximum number of waiting items, greater than 0
     * @param accountCapacity the maximum number of waiting items of one account, greater than 0
     * @throws IllegalArgumentException if a capacity is not positive
     */
    public PriorityFairQueue(int capacity, int accountCapacity) {
        checkArgument(capacity > 0, "capacity must be positive, was %s", capacity);
        checkArgument(accountCapacity > 0, "accountCapacity must be positive, was %s", accountCapacity);
        this.capacity = capacity;
        this.accountCapacity = accountCapacity;
    }

    /** Returns the number of waiting items, including those whose deadline has passed. */
    public int size() {
        int sum = 0;
        for (PriorityLevel<T> level : levels.values()) {
            sum += level.size();
        }
        return sum;
    }

    /**
     * Offers an item.
     *
     * @param offered the item
     * @param nowNanos the current time
     * @return whether the item was queued, the reason, and the displaced item if any
     */
    public AdmissionDecision<Waiting<T>> offer(Waiting<T> offered, long nowNanos) {
        if (offered.deadlineNanos() - nowNanos <= 0) {
            return AdmissionDecision.of(Reason.DEADLINE_PASSED);
        }
        if (waitingCount(offered.account()) >= accountCapacity) {
            return offerBeyondAccountLimit(offered);
        }
        if (size() < capacity) {
            add(offered);
            return AdmissionDecision.of(Reason.ROOM);
        }
        return offerToFullQueue(offered);
    }

    /**
     * Removes and returns the next item.
     *
     * @param nowNanos the current time
     * @return the next item in the order of service, or empty if no item waits within its deadline
     */
    public Optional<Waiting<T>> poll(long nowNanos) {
        Optional<Waiting<T>> next = pollTimely(nowNanos);
        for (PriorityLevel<T> level : levels.values()) {
            if (next.isPresent()) {
                return next;
            }
            next = level.pollLate(null, nowNanos);
        }
        return next;
    }

    /**
     * Removes and returns the next item of one account out of turn, for a resource that serves this account at lower
     * cost. A late item is returned only if no other item waits.
     *
     * @param account the client account
     * @param nowNanos the current time
     * @return the account's item of the highest priority, or empty if there is none
     */
    public Optional<Waiting<T>> poll(String account, long nowNanos) {
        boolean timelyItemWaits = false;
        for (PriorityLevel<T> level : levels.values()) {
            Optional<Waiting<T>> next = level.pollTimely(account, nowNanos);
            if (next.isPresent()) {
                return next;
            }
            timelyItemWaits |= level.timelySize() > 0;
        }
        if (!timelyItemWaits) {
            for (PriorityLevel<T> level : levels.values()) {
                Optional<Waiting<T>> next = level.pollLate(account, nowNanos);
                if (next.isPresent()) {
                    return next;
                }
            }
        }
        return Optional.empty();
    }

    /**
     * Removes and returns an item that cannot be answered within its objective any more, although others wait that can:
     * from each priority in turn.
     *
     * @param nowNanos the current time
     * @return the item, or empty if none is found
     */
    public Optional<Waiting<T>> pollLate(long nowNanos) {
        PriorityLevel<T> chosen = null;
        for (PriorityLevel<T> level : levels.values()) {
            if (level.lateSize() > 0 && (chosen == null || level.lastPolledLate() < chosen.lastPolledLate())) {
                chosen = level;
            }
        }
        if (chosen == null) {
            return Optional.empty();
        }
        chosen.recordPolledLate(++polledLate);
        return chosen.pollLate(null, nowNanos);
    }

    /**
     * Puts back an item that was polled and could not be served, as the next one of its priority. The capacity is not
     * checked.
     *
     * @param waiting the item
     * @param nowNanos the current time
     */
    public void restore(Waiting<T> waiting, long nowNanos) {
        level(waiting).restore(waiting, nowNanos);
    }

    /**
     * Puts back an item that was polled and could not be served, so that the other items of its priority are served
     * before it. The capacity is not checked.
     *
     * @param waiting the item
     * @param nowNanos the current time
     */
    public void requeue(Waiting<T> waiting, long nowNanos) {
        level(waiting).requeue(waiting, nowNanos);
    }

    /**
     * Removes every item whose deadline has passed.
     *
     * @param nowNanos the current time
     * @return the removed items, which have to be refused as not run
     */
    public List<Waiting<T>> removeExpired(long nowNanos) {
        List<Waiting<T>> removed = new ArrayList<>();
        for (PriorityLevel<T> level : levels.values()) {
            level.removeExpired(nowNanos, removed);
        }
        return removed;
    }

    /** Returns the number of waiting items of an account. */
    public int waitingCount(String account) {
        int sum = 0;
        for (PriorityLevel<T> level : levels.values()) {
            sum += level.waitingCount(account);
        }
        return sum;
    }

    /**
     * Returns how many waiting items would be served before a new one: those of higher priorities, those of its own
     * that have their turns before, and the share of the lower ones.
     *
     * @param account the client account of the new item
     * @param weight the weight of the account
     * @param priority the priority of the new item
     */
    public double aheadOf(String account, int weight, int priority) {
        double ahead = 0;
        int lower = 0;
        for (PriorityLevel<T> level : levels.values()) {
            if (level.priority() < priority) {
                ahead += level.timelySize();
            } else if (level.priority() == priority) {
                ahead += level.aheadOf(account, weight);
            } else {
                lower += level.timelySize();
            }
        }
        return ahead + Math.min(lower, ahead / (LOWER_PRIORITY_INTERVAL - 1));
    }

    private Optional<Waiting<T>> pollTimely(long nowNanos) {
        Optional<Waiting<T>> next = Optional.empty();
        PriorityLevel<T> lower = passedOver >= LOWER_PRIORITY_INTERVAL - 1 ? lowerLevelToServe() : null;
        if (lower != null) {
            next = lower.pollTimely(null, nowNanos);
            next.ifPresent(item -> recordServed(lower));
        }
        for (PriorityLevel<T> level : levels.values()) {
            if (next.isPresent()) {
                return next;
            }
            next = level.pollTimely(null, nowNanos);
            next.ifPresent(item -> recordServed(level));
        }
        return next;
    }

    private void recordServed(PriorityLevel<T> level) {
        level.recordServed(++served);
        boolean highest = true;
        boolean lowerWaits = false;
        for (PriorityLevel<T> other : levels.values()) {
            highest &= other.priority() >= level.priority() || other.timelySize() == 0;
            lowerWaits |= other.priority() > level.priority() && other.timelySize() > 0;
        }
        passedOver = highest && lowerWaits ? passedOver + 1 : 0;
    }

    /** Returns the level below the highest one with waiting items that was served least recently, or null. */
    private @Nullable PriorityLevel<T> lowerLevelToServe() {
        boolean highestSeen = false;
        PriorityLevel<T> chosen = null;
        for (PriorityLevel<T> level : levels.values()) {
            if (level.timelySize() == 0) {
                continue;
            }
            if (highestSeen && (chosen == null || level.lastServed() < chosen.lastServed())) {
                chosen = level;
            }
            highestSeen = true;
        }
        return chosen;
    }

    private AdmissionDecision<Waiting<T>> offerBeyondAccountLimit(Waiting<T> offered) {
        for (Map.Entry<Integer, PriorityLevel<T>> level : levels.tailMap(
                        offered.serviceClass().priority(), false)
                .descendingMap()
                .entrySet()) {
            if (level.getValue().waitingCount(offered.account()) > 0) {
                Waiting<T> displaced = level.getValue().removeNewest(offered.account());
                add(offered);
                return AdmissionDecision.displacingLowerPriority(displaced);
            }
        }
        return AdmissionDecision.of(Reason.ACCOUNT_LIMIT);
    }

    private AdmissionDecision<Waiting<T>> offerToFullQueue(Waiting<T> offered) {
        PriorityLevel<T> lowest = lowestLevel();
        PriorityLevel.Longest longest = lowest.longestQueue();
        int priority = offered.serviceClass().priority();
        if (lowest.priority() < priority) {
            return AdmissionDecision.of(Reason.HIGHER_PRIORITIES_WAIT);
        }
        if (lowest.priority() == priority) {
            double offeredLoad = (lowest.waitingCount(offered.account()) + 1) / (double) offered.weight();
            if (longest.account().equals(offered.account()) || offeredLoad >= longest.load()) {
                return AdmissionDecision.of(Reason.OWN_QUEUE_LONGEST);
            }
        }
        Waiting<T> displaced = lowest.removeNewest(longest.account());
        add(offered);
        return lowest.priority() == priority
                ? AdmissionDecision.displacing(displaced)
                : AdmissionDecision.displacingLowerPriority(displaced);
    }

    private PriorityLevel<T> lowestLevel() {
        for (PriorityLevel<T> level : levels.descendingMap().values()) {
            if (level.size() > 0) {
                return level;
            }
        }
        throw new IllegalStateException("the queue is full but has no waiting item");
    }

    private void add(Waiting<T> waiting) {
        level(waiting).add(waiting);
    }

    private PriorityLevel<T> level(Waiting<T> waiting) {
        return levels.computeIfAbsent(waiting.serviceClass().priority(), PriorityLevel::new);
    }
}
