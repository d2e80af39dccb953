package org.banyanhook.gateway.port;

import java.util.SortedMap;
import java.util.concurrent.CompletableFuture;

/** The platform's operation that accepts the usage of a window. */
@FunctionalInterface
public interface UsageAuthority {
    /** The result of a report. */
    enum Result {
        /** The report is accepted, or an equal one was accepted before. */
        ACCEPTED,
        /** The report is not accepted and never will be. */
        REJECTED,
        /** The platform was overloaded or unavailable and did nothing; the same report may be sent again. */
        REFUSED,
        /** No answer was received; the report may be accepted, and the same report may be sent again. */
        NO_ANSWER
    }

    /**
     * Reports the usage of a window.
     *
     * @param window the number of the window
     * @param counts the number of requests that began to run at members, by client account
     * @param leaseHolder the daemon that holds the duty
     * @param fencingToken a number that grows whenever the holder of the duty changes
     * @return the result; never fails
     */
    CompletableFuture<Result> report(
            long window, SortedMap<String, Long> counts, String leaseHolder, long fencingToken);
}
