package org.banyanhook.gateway.backend;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleFunction;
import java.util.function.Predicate;
import org.banyanhook.core.admission.AdmissionDecision;
import org.banyanhook.core.admission.PriorityFairQueue;
import org.banyanhook.core.admission.PriorityFairQueue.Waiting;
import org.banyanhook.core.admission.ServiceClass;
import org.banyanhook.core.scheduling.AdmissionEstimator;
import org.banyanhook.core.scheduling.AdmissionEstimator.Estimate;
import org.banyanhook.gateway.message.SessionError;
import org.banyanhook.gateway.operation.GatewayMetrics;

/**
 * The connection requests of a group that wait for a connection to one kind of member, in the order of service. Used on
 * the event loop only.
 */
final class ConnectionRequestQueue {

    /** More than the members of a group can process in a second. */
    private static final int CAPACITY_REQUESTS = 256;

    private static final int CAPACITY_REQUESTS_PER_ACCOUNT = 96;

    /**
     * How many requests that cannot be placed are passed over in one dispatch. Each costs the collection of the group's
     * members. At least three of them are of lower priorities while such requests wait.
     */
    private static final int LOOK_AHEAD_REQUESTS = 16;

    /**
     * How many requests that are past their objective are examined in addition if the look-ahead has reached its limit.
     * They come last in the order, so the limit would exclude them as long as enough others wait.
     */
    private static final int LOOK_AHEAD_LATE_REQUESTS = 4;

    private final String target;
    private final GatewayMetrics metrics;
    private final AdmissionEstimator estimator = new AdmissionEstimator();
    private final PriorityFairQueue<ConnectionRequest> requests =
            new PriorityFairQueue<>(CAPACITY_REQUESTS, CAPACITY_REQUESTS_PER_ACCOUNT);

    /**
     * Creates an empty queue.
     *
     * @param target what the requests wait for, for the log
     * @param metrics counts refusals, and requests that were held although they then timed out
     */
    ConnectionRequestQueue(String target, GatewayMetrics metrics) {
        this.target = target;
        this.metrics = metrics;
    }

    boolean isEmpty() {
        return requests.size() == 0;
    }

    /** Returns the estimate of the time that requests wait. */
    AdmissionEstimator estimator() {
        return estimator;
    }

    /** Adds a request in the order of arrival, or refuses it or one of a larger account if the queue is full. */
    void add(ConnectionRequest request, long nowNanos) {
        offer(request, ServiceClass.UNIFORM, nowNanos);
    }

    /**
     * Adds a request in the order of its priority and objective. Refuses it if it cannot be served in time, or if the
     * queue is full of requests that come before it.
     *
     * @param request the request
     * @param state returns the state of the queue, given how many requests come before the new one
     * @param nowNanos the time
     */
    void addByPriority(ConnectionRequest request, DoubleFunction<AdmissionEstimator.QueueState> state, long nowNanos) {
        ServiceClass serviceClass = request.serviceClass(estimator.expectedHoldNanos());
        double ahead = requests.aheadOf(request.account(), request.weight(), serviceClass.priority());
        Estimate estimate = estimator.estimate(state.apply(ahead), request.deadlineNanos() - nowNanos);
        if (estimate.refuses()) {
            metrics.count("admission.estimates", "result", "refused");
            refuse(request, "queue: " + estimate.reason() + "; retry after " + millis(estimate) + " ms");
        } else {
            request.heldInTime(estimate.reason() == AdmissionEstimator.Reason.IN_TIME);
            offer(request, serviceClass, nowNanos);
        }
    }

    private static long millis(Estimate estimate) {
        return TimeUnit.NANOSECONDS.toMillis(estimate.waitNanos());
    }

    private void offer(ConnectionRequest request, ServiceClass serviceClass, long nowNanos) {
        AdmissionDecision<Waiting<ConnectionRequest>> decision = requests.offer(
                new Waiting<>(request, request.account(), request.weight(), serviceClass, request.deadlineNanos()),
                nowNanos);
        decision.displaced().ifPresent(displaced -> refuse(displaced.item(), displacement(decision.reason())));
        if (!decision.isQueued()) {
            refuse(request, "queue: " + decision.reason());
        }
    }

    private static String displacement(AdmissionDecision.Reason reason) {
        return reason == AdmissionDecision.Reason.DISPLACED_LOWER_PRIORITY
                ? "displaced from the queue by a request of a higher priority"
                : "displaced from the queue by an account with a shorter queue";
    }

    /** Removes and returns the next request of an account, or empty if none is waiting. */
    Optional<ConnectionRequest> poll(String account, long nowNanos) {
        Optional<ConnectionRequest> next =
                requests.poll(account, nowNanos).map(Waiting::item).filter(request -> !request.isCancelled());
        next.ifPresent(this::recordServed);
        return next;
    }

    /** Places requests in their order. Those that cannot be placed stay in the queue and are passed over. */
    void dispatch(Predicate<ConnectionRequest> place, long nowNanos) {
        ArrayDeque<Waiting<ConnectionRequest>> unplaced = new ArrayDeque<>(0);
        try {
            placeInOrder(place, unplaced, nowNanos);
        } finally {
            putBack(unplaced, nowNanos);
        }
    }

    private void placeInOrder(
            Predicate<ConnectionRequest> place, ArrayDeque<Waiting<ConnectionRequest>> unplaced, long nowNanos) {
        int attempts = requests.size();
        while (attempts-- > 0 && unplaced.size() < LOOK_AHEAD_REQUESTS) {
            Optional<Waiting<ConnectionRequest>> next = requests.poll(nowNanos);
            if (next.isEmpty()) {
                return;
            }
            placeOrKeep(next.get(), place, unplaced);
        }
        int limit = unplaced.size() + LOOK_AHEAD_LATE_REQUESTS;
        while (attempts-- > 0 && unplaced.size() < limit) {
            Optional<Waiting<ConnectionRequest>> late = requests.pollLate(nowNanos);
            if (late.isEmpty()) {
                return;
            }
            placeOrKeep(late.get(), place, unplaced);
        }
    }

    private void placeOrKeep(
            Waiting<ConnectionRequest> next,
            Predicate<ConnectionRequest> place,
            ArrayDeque<Waiting<ConnectionRequest>> unplaced) {
        ConnectionRequest request = next.item();
        if (!request.isCancelled()) {
            if (place.test(request)) {
                recordServed(request);
            } else {
                unplaced.addFirst(next);
            }
        }
    }

    /** Puts requests back in their places, or behind others if more of them may block what can be placed. */
    private void putBack(ArrayDeque<Waiting<ConnectionRequest>> unplaced, long nowNanos) {
        if (unplaced.size() < LOOK_AHEAD_REQUESTS) {
            unplaced.forEach(waiting -> requests.restore(waiting, nowNanos));
        } else {
            unplaced.descendingIterator().forEachRemaining(waiting -> requests.requeue(waiting, nowNanos));
        }
    }

    /** Refuses the requests whose time is over. */
    void refuseExpired(long nowNanos) {
        requests.removeExpired(nowNanos).forEach(waiting -> {
            if (waiting.item().isHeldInTime()) {
                metrics.count("admission.estimates", "result", "held-timed-out");
            }
            refuse(waiting.item(), "timed out in the queue for " + target);
        });
    }

    private void recordServed(ConnectionRequest request) {
        if (request.isHeldInTime()) {
            metrics.count("admission.estimates", "result", "held-served");
        }
    }

    private static void refuse(ConnectionRequest request, String detail) {
        if (!request.isCancelled()) {
            request.cancel();
            request.listener().onRefused(SessionError.OVERLOADED, detail);
        }
    }
}
