package org.banyanhook.daemon.primary;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.configuration.BackendServer;
import org.banyanhook.core.primary.MemberStatus;

/**
 * The control calls of a backend server. Safe for use by several threads; never blocks.
 *
 * <p>Every future fails with a {@link BackendControlException}.
 */
public interface BackendControl {
    /**
     * Reads the status of a member.
     *
     * @param server the member
     * @param timeout how long to wait for the answer
     * @return its status
     */
    CompletableFuture<MemberStatus> status(BackendServer server, Duration timeout);

    /**
     * Makes a member accept a term and refuse all older work.
     *
     * @param server the member
     * @param term the term, higher than any that the member saw
     * @param timeout how long to wait for the answer
     * @return its status; failed with kind {@code REFUSED} and the status if the member saw the term or a later one
     */
    CompletableFuture<MemberStatus> fence(BackendServer server, long term, Duration timeout);

    /**
     * Makes a member that was fenced at just this term its primary.
     *
     * @param server the member
     * @param term the term
     * @param timeout how long to wait for the answer
     * @return its status after the first entry of the term was written
     */
    CompletableFuture<MemberStatus> promote(BackendServer server, long term, Duration timeout);

    /**
     * Makes a member replicate from the primary of a term.
     *
     * @param server the member
     * @param term the term
     * @param primary the primary of the term
     * @param timeout how long to wait for the answer
     * @return its status
     */
    CompletableFuture<MemberStatus> follow(BackendServer server, long term, BackendServer primary, Duration timeout);
}
