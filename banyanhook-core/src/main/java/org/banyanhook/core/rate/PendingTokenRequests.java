package org.banyanhook.core.rate;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The token requests of one process that are not answered yet. Each transfer is applied at most once, and never after
 * its request has ended. Not safe for use by several threads.
 */
public final class PendingTokenRequests {

    private final Map<Long, Request> requests = new HashMap<>();
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
     * Ends a request.
     *
     * @param sequence the number of the request
     * @return the request, or empty if it has already ended; a duplicate or late transfer must not be applied
     */
    public Optional<Request> close(long sequence) {
        return Optional.ofNullable(requests.remove(sequence));
    }
}
