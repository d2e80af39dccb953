package org.banyanhook.gateway.backend;

import java.util.Optional;
import java.util.function.Predicate;
import org.banyanhook.core.admission.AdmissionDecision;
import org.banyanhook.core.admission.FairQueue;
import org.banyanhook.gateway.message.SessionError;

/** The connection requests of a group that wait for a connection, in a fair order. Used on the event loop only. */
final class ConnectionRequestQueue {

    /** More than the members of a group can process in a second. */
    private static final int CAPACITY_REQUESTS = 256;

    private static final int CAPACITY_REQUESTS_PER_ACCOUNT = 96;

    private final String target;
    private final FairQueue<ConnectionRequest> requests =
            new FairQueue<>(CAPACITY_REQUESTS, CAPACITY_REQUESTS_PER_ACCOUNT);

    /**
     * Creates an empty queue.
     *
     * @param target what the requests wait for, for the log
     */
    ConnectionRequestQueue(String target) {
        this.target = target;
    }

    boolean isEmpty() {
        return requests.size() == 0;
    }

    /** Adds a request, or refuses it or one of a larger account if the queue is full. */
    void add(ConnectionRequest request, long nowNanos) {
        AdmissionDecision<ConnectionRequest> decision =
                requests.offer(request.account(), request.weight(), request, request.deadlineNanos(), nowNanos);
        decision.displaced()
                .ifPresent(
                        displaced -> refuse(displaced, "displaced from the queue by an account with a shorter queue"));
        if (!decision.isQueued()) {
            refuse(request, "queue: " + decision.reason());
        }
    }

    /** Removes and returns the oldest request of an account, or empty if none is waiting. */
    Optional<ConnectionRequest> poll(String account, long nowNanos) {
        return requests.poll(account, nowNanos).filter(request -> !request.isCancelled());
    }

    /** Removes requests in their order until one cannot be placed. */
    void dispatch(Predicate<ConnectionRequest> place, long nowNanos) {
        int attempts = requests.size();
        while (attempts-- > 0) {
            ConnectionRequest next = requests.poll(nowNanos).orElse(null);
            if (next == null) {
                return;
            }
            if (!next.isCancelled() && !place.test(next)) {
                requests.offer(next.account(), next.weight(), next, next.deadlineNanos(), nowNanos);
                return;
            }
        }
    }

    /** Refuses the requests whose time is over. */
    void refuseExpired(long nowNanos) {
        requests.removeExpired(nowNanos).forEach(request -> refuse(request, "timed out in the queue for " + target));
    }

    private static void refuse(ConnectionRequest request, String detail) {
        if (!request.isCancelled()) {
            request.cancel();
            request.listener().onRefused(SessionError.OVERLOADED, detail);
        }
    }
}
