package org.banyanhook.daemon.caller;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The requests whose replies are not known yet. Safe for use by several threads. */
final class OutstandingRequests {

    private final Set<OutstandingRequest> requests = ConcurrentHashMap.newKeySet();
    private volatile boolean ended;

    /**
     * Adds a request until its reply is known. A request that is added after the end of the service is refused.
     *
     * @param requestId the request id
     * @return the request
     */
    OutstandingRequest add(String requestId) {
        OutstandingRequest request = new OutstandingRequest(requestId);
        requests.add(request);
        request.reply().whenComplete((reply, failure) -> requests.remove(request));
        if (ended) {
            request.endService();
        }
        return request;
    }

    /** Replies to all requests with what is known of them, and refuses further ones as not run. */
    void endService() {
        ended = true;
        requests.forEach(OutstandingRequest::endService);
    }
}
