package org.banyanhook.gateway.port;

import java.util.concurrent.CompletableFuture;

/** The platform's call that makes a member the primary of its group. */
@FunctionalInterface
public interface PromotionAuthority {

    /** What became of an order. */
    enum Result {
        /** The member takes over, or is the primary already. */
        ACCEPTED,
        /** The member does not run, or the order was refused. */
        REJECTED,
        /** No answer came, or the platform was too busy; the same order may be given again. */
        NO_ANSWER
    }

    /**
     * Orders a promotion.
     *
     * @param group the database group
     * @param member the member that is to lead
     * @param leaseHolder the daemon that holds the duty
     * @param fencingToken a number that grows whenever the duty changes hands
     * @return what became of the order; never fails
     */
    CompletableFuture<Result> promote(String group, String member, String leaseHolder, long fencingToken);
}
