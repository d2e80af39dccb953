package org.banyanhook.daemon.primary;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.configuration.BackendServer;
import org.banyanhook.core.primary.MemberStatus;

/**
 * Makes control calls to backend servers. Implementations are thread-safe and never block.
 *
 * <p>If a call fails, its future fails with a {@link BackendControlException}.
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
     * Fences a member: makes it accept a term and refuse all requests of earlier terms.
     *
     * @param server the member
     * @param term the term, which must be higher than any term that the member has seen
     * @param timeout how long to wait for the answer
     * @return its status; the future fails with kind {@code REFUSED} and the status if the member has already seen this
     *     term or a later one
     */
    CompletableFuture<MemberStatus> fence(BackendServer server, long term, Duration timeout);

    /**
     * Promotes a member to primary of the term at which it was fenced.
     *
     * @param server the member
     * @param term the term
     * @param timeout how long to wait for the answer
     * @return its status after it has written the first log entry of the term
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
