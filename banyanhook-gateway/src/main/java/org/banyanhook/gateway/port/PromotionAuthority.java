package org.banyanhook.gateway.port;

import java.util.concurrent.CompletableFuture;

/** The platform's operation that makes a member the primary of its group. */
@FunctionalInterface
public interface PromotionAuthority {

    /** The result of a promotion request. */
    enum Result {
        /** The member becomes primary, or already is. */
        ACCEPTED,
        /** The member is not running, or the request was refused. */
        REJECTED,
        /** The platform was overloaded or unavailable and did nothing; the same request may be sent again. */
        REFUSED,
        /** No answer was received; the member may become primary, now or later. */
        NO_ANSWER
    }

    /**
     * Requests a promotion.
     *
     * @param group the database group
     * @param member the member that is to become primary
     * @param leaseHolder the daemon that holds the promotion lease
     * @param fencingToken a number that grows whenever the holder of the lease changes
     * @return the result; never fails
     */
    CompletableFuture<Result> promote(String group, String member, String leaseHolder, long fencingToken);
}
