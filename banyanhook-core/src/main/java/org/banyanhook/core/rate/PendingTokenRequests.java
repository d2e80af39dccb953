package org.banyanhook.core.rate;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The requests for tokens of one process that are under way, so that each transfer is applied at most once and none
 * after its time. Not safe for use by several threads.
 */
public final class PendingTokenRequests {

    private final Map<Long, Request> requests = new HashMap<>();
    private long lastSequence;

    /**
     * A request for tokens.
     *
     * @param sequence its number, unique in the life of this process
     * @param clientAccount the account
     * @param peer the entry VM asked
     * @param micros millionths of a token asked for
     * @param sentNanos when it was sent
     */
    public record Request(long sequence, String clientAccount, String peer, long micros, long sentNanos) {}

    /** Notes a new request. */
    public Request open(String clientAccount, String peer, long micros, long nowNanos) {
        Request request = new Request(++lastSequence, clientAccount, peer, micros, nowNanos);
        requests.put(request.sequence(), request);
        return request;
    }

    /**
     * Ends a request.
     *
     * @param sequence its number
     * @return the request, or empty if it has ended before: a duplicate or a late transfer, which must not be applied
     */
    public Optional<Request> close(long sequence) {
        return Optional.ofNullable(requests.remove(sequence));
    }
}
