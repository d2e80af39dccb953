package org.banyanhook.core.rate;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The token requests of one process that are not answered yet. Each transfer is applied at most once, and never after
 * its request has ended. Not safe for use by several threads.
 */
public final class PendingTokenRequests {

    private final Map<Long, Request> requests = new LinkedHashMap<>();
    private final Set<Long> overdue = new HashSet<>();
    private long lastSequence;

    /**
     * A token request.
     *
     * @param sequence the number of the request, unique within this process
     * @param clientAccount the name of the client account
     * @param peer the name of the entry VM that the request is sent to
     * @param micros the millionths of a token requested
     * @param sentNanos when the request was sent
     */
    public record Request(long sequence, String clientAccount, String peer, long micros, long sentNanos) {}

    /** Creates and records a new request. */
    public Request open(String clientAccount, String peer, long micros, long nowNanos) {
        Request request = new Request(++lastSequence, clientAccount, peer, micros, nowNanos);
        requests.put(request.sequence(), request);
        return request;
    }

    /**
     * Marks the requests without an answer that were sent at least a time ago, each once. An answer that arrives later
     * still counts.
     *
     * @param ageNanos the time
     * @param nowNanos the time on this entry VM's monotonic clock
     * @return the requests that are overdue since this call, oldest first
     */
    public List<Request> markOverdue(long ageNanos, long nowNanos) {
        List<Request> marked = new ArrayList<>();
        for (Request request : requests.values()) {
            if (nowNanos - request.sentNanos() < ageNanos) {
                break;
            }
            if (overdue.add(request.sequence())) {
                marked.add(request);
            }
        }
        return marked;
    }

    /**
     * Forgets that a request is overdue.
     *
     * @param sequence the number of the request
     * @return whether it was overdue
     */
    public boolean clearOverdue(long sequence) {
        return overdue.remove(sequence);
    }

    /**
     * Ends a request.
     *
     * @param sequence the number of the request
     * @return the request, or empty if it has already ended; a duplicate or late transfer must not be applied
     */
    public Optional<Request> close(long sequence) {
        return Optional.ofNullable(requests.remove(sequence));
    }
}
