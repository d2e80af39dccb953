package org.banyanhook.core.primary;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.banyanhook.core.configuration.BackendServer;
import org.banyanhook.core.configuration.Database;

/**
 * One attempt to give a database group a primary in one term.
 *
 * <p>It fences a majority of the members at its term, promotes the fenced member with the latest log, and makes the
 * others follow it. A member accepts each term once, and only the proposal that receives the acceptance counts the
 * member, so at most one proposal wins a term. A proposal that does not know the outcome of its promotion never names
 * another member in the same term. Not thread-safe.
 */
public final class PromotionProposal {

    private static final long FENCE_GRACE_NANOS = Duration.ofMillis(150).toNanos();
    private static final long FENCE_TIMEOUT_NANOS = Duration.ofMillis(2500).toNanos();
    private static final long PROMOTE_TIMEOUT_NANOS = Duration.ofSeconds(4).toNanos();
    private static final long FOLLOW_TIMEOUT_NANOS = Duration.ofSeconds(5).toNanos();
    private static final int MAXIMUM_PROMOTE_ATTEMPTS = 3;

    private final Database database;
    private final long term;
    private final ToIntFunction<BackendServer> penalty;
    private final Predicate<BackendServer> avoided;
    private final Map<String, MemberStatus> fenced = new LinkedHashMap<>();
    private final Set<String> fenceFailures = new HashSet<>();
    private final Set<String> followers = new HashSet<>();

    private PromotionState state = PromotionState.FENCING;
    private String reason = "waiting for a majority to accept the term";
    private String successor = "";
    private long highestTermSeen;
    private long fencingStartedNanos;
    private long majorityReachedNanos;
    private long promotionStartedNanos;
    private long promotionCompletedNanos;
    private int promoteAttempts;

    /**
     * Creates a proposal.
     *
     * @param database the configuration of the group
     * @param term the term, higher than any observed
     * @param penalty ranks members with equal logs, the lowest first; a member that is leaving can be given a high
     *     value
     * @param avoided selects the members to skip if the fenced members without them form a majority; entries that only
     *     the skipped members hold were never acknowledged
     */
    public PromotionProposal(
            Database database, long term, ToIntFunction<BackendServer> penalty, Predicate<BackendServer> avoided) {
        checkArgument(term > 0, "term must be positive, was %s", term);
        this.database = requireNonNull(database, "database");
        this.term = term;
        this.penalty = requireNonNull(penalty, "penalty");
        this.avoided = requireNonNull(avoided, "avoided");
        this.highestTermSeen = term;
    }

    /** Returns the state of the proposal. */
    public PromotionState state() {
        return state;
    }

    /** Returns the term of the proposal. */
    public long term() {
        return term;
    }

    /** Returns the reason for the state, for the log. */
    public String reason() {
        return reason;
    }

    /** Returns the member chosen as primary, or empty if none has been chosen yet. */
    public Optional<String> successor() {
        return successor.isEmpty() ? Optional.empty() : Optional.of(successor);
    }

    /** Returns the highest term in any answer, at least the proposal's own term. */
    public long highestTermSeen() {
        return highestTermSeen;
    }

    /**
     * Starts the proposal.
     *
     * @param nowNanos the reading of the monotonic clock
     * @return the commands to execute
     */
    public List<PromotionCommand> start(long nowNanos) {
        checkState(
                fencingStartedNanos == 0 && fenced.isEmpty(),
                "proposal for %s has already been started",
                database.name());
        fencingStartedNanos = nowNanos;
        return database.members().stream()
                .map(member -> PromotionCommand.fence(member.name(), term))
                .toList();
    }

    /**
     * Records that a member accepted the term at the request of this proposal.
     *
     * @param status the status in the answer
     * @param nowNanos the reading of the monotonic clock
     * @return the commands to execute
     */
    public List<PromotionCommand> onFenced(MemberStatus status, long nowNanos) {
        if (state != PromotionState.FENCING || status.term() != term || isNotMember(status.member())) {
            return List.of();
        }
        fenced.put(status.member(), status);
        fenceFailures.remove(status.member());
        if (fenced.size() == database.majoritySize()) {
            majorityReachedNanos = nowNanos;
        }
        return promoteIfReady(nowNanos);
    }

    /**
     * Records that a member refused the term or did not answer. In both cases the member does not count, even if it
     * accepted the term, because this proposal did not receive the acceptance.
     *
     * @param member the name of the backend server
     * @param termSeen the term in the refusal, 0 if there was none
     * @param nowNanos the reading of the monotonic clock
     * @return the commands to execute
     */
    public List<PromotionCommand> onFenceFailed(String member, long termSeen, long nowNanos) {
        highestTermSeen = Math.max(highestTermSeen, termSeen);
        if (state != PromotionState.FENCING || isNotMember(member) || fenced.containsKey(member)) {
            return List.of();
        }
        fenceFailures.add(member);
        int stillPossible = database.members().size() - fenceFailures.size();
        if (stillPossible < database.majoritySize()) {
            abandon("only " + stillPossible + " of " + database.members().size()
                    + " members can still accept the term");
            return List.of();
        }
        return promoteIfReady(nowNanos);
    }

    private List<PromotionCommand> promoteIfReady(long nowNanos) {
        if (fenced.size() < database.majoritySize()) {
            return List.of();
        }
        boolean allAnswered =
                fenced.size() + fenceFailures.size() == database.members().size();
        if (!allAnswered && nowNanos - majorityReachedNanos < FENCE_GRACE_NANOS) {
            return List.of();
        }
        MemberStatus chosen = chooseSuccessor();
        successor = chosen.member();
        state = PromotionState.PROMOTING;
        reason = "latest log " + chosen.position() + " of " + fenced.size() + " fenced members";
        promotionStartedNanos = nowNanos;
        promoteAttempts = 1;
        return ImmutableList.of(PromotionCommand.promote(successor, term));
    }

    private MemberStatus chooseSuccessor() {
        Comparator<MemberStatus> latestLog = Comparator.comparing(MemberStatus::position);
        List<MemberStatus> preferred =
                fenced.values().stream().filter(this::isNotAvoided).toList();
        return (preferred.size() >= database.majoritySize() ? preferred : fenced.values())
                .stream()
                        .max(latestLog
                                .thenComparing(
                                        status -> database.member(status.member())
                                                .map(penalty::applyAsInt)
                                                .orElse(Integer.MAX_VALUE),
                                        Comparator.reverseOrder())
                                .thenComparing(MemberStatus::member, Comparator.reverseOrder()))
                        .orElseThrow();
    }

    private boolean isNotAvoided(MemberStatus status) {
        return database.member(status.member()).filter(avoided).isEmpty();
    }

    /**
     * Records that the chosen member became primary.
     *
     * @param status the status in the answer
     * @param nowNanos the reading of the monotonic clock
     * @return the commands to execute
     */
    public List<PromotionCommand> onPromoted(MemberStatus status, long nowNanos) {
        boolean isOwnPromotion = status.member().equals(successor) && status.term() == term;
        if (state != PromotionState.PROMOTING || !isOwnPromotion || status.role() != MemberRole.PRIMARY) {
            return List.of();
        }
        state = PromotionState.FOLLOWING;
        reason = successor + " is primary of term " + term + " at " + status.position();
        promotionCompletedNanos = nowNanos;
        followers.add(successor);
        ImmutableList.Builder<PromotionCommand> commands = ImmutableList.builder();
        commands.add(PromotionCommand.publish(successor, term));
        commands.addAll(followCommands());
        completeIfMajorityFollows();
        return commands.build();
    }

    /**
     * Records that the promotion was refused or not answered.
     *
     * @param refused true if the member refused, so that this call does not make it primary of the term
     * @param termSeen the term in the refusal, 0 if there was none
     * @return the commands to execute
     */
    public List<PromotionCommand> onPromoteFailed(boolean refused, long termSeen) {
        highestTermSeen = Math.max(highestTermSeen, termSeen);
        if (state != PromotionState.PROMOTING) {
            return List.of();
        }
        if (refused || promoteAttempts >= MAXIMUM_PROMOTE_ATTEMPTS) {
            abandon(successor + (refused ? " refused" : " did not answer") + " the promotion");
            return List.of();
        }
        promoteAttempts++;
        return ImmutableList.of(PromotionCommand.promote(successor, term));
    }

    /**
     * Records that a member follows the new primary.
     *
     * @param member the name of the backend server
     */
    public void onFollowed(String member) {
        if (state == PromotionState.FOLLOWING && !isNotMember(member)) {
            followers.add(member);
            completeIfMajorityFollows();
        }
    }

    /**
     * Records that a member did not follow the new primary.
     *
     * @param termSeen the term in a refusal, 0 if the member did not answer
     */
    public void onFollowFailed(long termSeen) {
        highestTermSeen = Math.max(highestTermSeen, termSeen);
        if (state == PromotionState.FOLLOWING && termSeen > term) {
            abandon("a member accepted the later term " + termSeen);
        }
    }

    /**
     * Applies the timeouts and the grace period, and repeats the follow commands that are not confirmed yet.
     *
     * @param nowNanos the reading of the monotonic clock
     * @return the commands to execute
     */
    public List<PromotionCommand> onTick(long nowNanos) {
        if (state == PromotionState.FENCING) {
            List<PromotionCommand> commands = promoteIfReady(nowNanos);
            if (commands.isEmpty() && nowNanos - fencingStartedNanos > FENCE_TIMEOUT_NANOS) {
                abandon("only " + fenced.size() + " of " + database.members().size() + " members accepted the term");
            }
            return commands;
        }
        if (state == PromotionState.PROMOTING && nowNanos - promotionStartedNanos > PROMOTE_TIMEOUT_NANOS) {
            abandon(successor + " did not answer the promotion in time");
        }
        if (state != PromotionState.FOLLOWING) {
            return List.of();
        }
        if (nowNanos - promotionCompletedNanos > FOLLOW_TIMEOUT_NANOS) {
            abandon("no majority follows " + successor);
            return List.of();
        }
        return followCommands();
    }

    private List<PromotionCommand> followCommands() {
        List<PromotionCommand> commands = new ArrayList<>();
        for (BackendServer member : database.members()) {
            if (!followers.contains(member.name())) {
                commands.add(PromotionCommand.follow(member.name(), term, successor));
            }
        }
        return commands;
    }

    private void completeIfMajorityFollows() {
        if (followers.size() >= database.majoritySize()) {
            state = PromotionState.PUBLISHED;
            reason = followers.size() + " of " + database.members().size() + " members follow " + successor;
        }
    }

    private boolean isNotMember(String member) {
        return database.member(member).isEmpty();
    }

    private void abandon(String cause) {
        state = PromotionState.ABANDONED;
        reason = cause;
    }
}
