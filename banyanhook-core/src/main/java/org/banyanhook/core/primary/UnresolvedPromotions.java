package org.banyanhook.core.primary;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.core.store.StoreRevision;
import org.jspecify.annotations.Nullable;

/**
 * The promotions whose outcome is not known: requests that were not answered, and recorded promotions whose member has
 * not become primary since.
 *
 * <p>A request without an answer may still be carried out. If another member became primary meanwhile, the late request
 * would replace it, and what it had acknowledged would be rolled back. Therefore no other member is promoted until the
 * outcome of the earlier request is known. Not thread-safe.
 */
public final class UnresolvedPromotions {

    /**
     * How long a recorded promotion of another daemon is taken into account if its member does not become primary. The
     * platform carries out a request that is held up within this time or not at all.
     */
    public static final long RECORD_RELEVANCE_NANOS = Duration.ofSeconds(10).toNanos();

    private final Map<String, UnansweredRequest> unansweredRequests = new HashMap<>();
    private final Map<String, StoreRevision> completedRevisions = new HashMap<>();

    /**
     * A promotion recorded in the store.
     *
     * @param member the member to be promoted
     * @param revision the revision at which the promotion was recorded first
     * @param learnedNanos when this daemon learned of the record
     */
    public record RecordedPromotion(String member, StoreRevision revision, long learnedNanos) {}

    /**
     * A promotion whose outcome is not known.
     *
     * @param member the member to be promoted
     * @param position the end of its log when it was chosen, or null if another daemon chose it
     * @param mayBeCarriedOut whether the platform may still carry it out unless it is requested again
     */
    public record EarlierPromotion(String member, @Nullable LogPosition position, boolean mayBeCarriedOut) {}

    private record UnansweredRequest(String member, StoreRevision revision, LogPosition position, long sentNanos) {}

    /**
     * Records that this daemon sent a request to promote a member and received no answer.
     *
     * @param group the database group
     * @param member the member
     * @param revision the revision of the record of this promotion
     * @param position the end of the member's log when it was chosen
     * @param nowNanos the time
     */
    public void recordUnanswered(
            String group, String member, StoreRevision revision, LogPosition position, long nowNanos) {
        unansweredRequests.put(group, new UnansweredRequest(member, revision, position, nowNanos));
    }

    /**
     * Records that a request to promote a member was answered. The connection of an earlier request was reset before
     * the later one was sent, so the answer is the outcome of both.
     */
    public void recordAnswer(String group) {
        unansweredRequests.remove(group);
    }

    /**
     * Records which member is the primary. A request without an answer is settled if its member leads, or if a member
     * leads that was recorded later; its connection was reset before this daemon lost the promotion lease.
     *
     * @param group the database group
     * @param primary the current primary
     * @param recorded the last recorded promotion, or null if there is none
     */
    public void observePrimary(String group, String primary, @Nullable RecordedPromotion recorded) {
        StoreRevision ledRevision =
                recorded != null && recorded.member().equals(primary) ? recorded.revision() : StoreRevision.NONE;
        UnansweredRequest unanswered = unansweredRequests.get(group);
        if (unanswered != null && (unanswered.member().equals(primary) || ledRevision.isAfter(unanswered.revision()))) {
            unansweredRequests.remove(group);
        }
        if (ledRevision.isAfter(StoreRevision.NONE)) {
            completedRevisions.put(group, ledRevision);
        }
    }

    /**
     * Returns the promotion that comes before the choice of another member.
     *
     * @param group the database group
     * @param recorded the last recorded promotion, or null if there is none
     * @param candidates the members that can be promoted now
     * @param nowNanos the time
     * @return the promotion, or empty if the choice is free
     */
    public Optional<EarlierPromotion> earlierPromotion(
            String group, @Nullable RecordedPromotion recorded, Set<String> candidates, long nowNanos) {
        UnansweredRequest unanswered = unansweredRequests.get(group);
        if (unanswered != null) {
            boolean mayBeCarriedOut = nowNanos - unanswered.sentNanos() < RECORD_RELEVANCE_NANOS;
            return Optional.of(new EarlierPromotion(unanswered.member(), unanswered.position(), mayBeCarriedOut));
        }
        if (recorded == null
                || !recorded.revision().isAfter(completedRevisions.getOrDefault(group, StoreRevision.NONE))
                || nowNanos - recorded.learnedNanos() >= RECORD_RELEVANCE_NANOS) {
            return Optional.empty();
        }
        return Optional.of(recorded.member())
                .filter(candidates::contains)
                .map(member -> new EarlierPromotion(member, null, true));
    }
}
