package org.banyanhook.core.primary;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.banyanhook.core.primary.UnresolvedPromotions.EarlierPromotion;
import org.banyanhook.core.replication.LogPosition;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the member that replaces the primary of a database group, or says what has to be waited for.
 *
 * <p>Without synchronous replicas, the longest log among the members that may serve is chosen. With them, no
 * acknowledged commit may be lost. A commit was acknowledged only after the primary and the required number of replicas
 * had it, so it is in one of the reported logs if at most that number of members did not report, the primary included.
 * The longest log then contains all acknowledged commits, and its member is chosen even if it is leaving, taken out or
 * was refused before: another member replaces it once it has caught up. If its member is not listed, nothing is
 * promoted until it is, since nobody could use it. Immutable and thread-safe.
 */
public final class SuccessorChoice {

    private static final Comparator<LogReport> BY_LOG =
            Comparator.comparing(LogReport::position).thenComparing(LogReport::member);

    private static final Comparator<LogReport> BY_LOG_THEN_ELIGIBILITY = Comparator.comparing(LogReport::position)
            .thenComparing(LogReport::listed)
            .thenComparing(LogReport::eligible)
            .thenComparing(LogReport::member);

    private final int synchronousReplicas;
    private final List<LogReport> reports;
    private final Set<String> possibleHolders;
    private final LogPosition requiredPosition;
    private final @Nullable EarlierPromotion earlierPromotion;

    /**
     * What a member reported of its log.
     *
     * @param member the name of the member
     * @param position the end of the log that it has received
     * @param eligible whether it may serve as the primary for longer: it is neither leaving nor taken out, and the
     *     platform has not refused to promote it
     * @param primary whether it takes itself for the primary, of an earlier term if another member has taken over
     * @param listed whether its group lists it
     */
    public record LogReport(String member, LogPosition position, boolean eligible, boolean primary, boolean listed) {

        /** Creates the report of a member that its group lists. */
        public LogReport(String member, LogPosition position, boolean eligible, boolean primary) {
            this(member, position, eligible, primary, true);
        }

        private boolean isEmpty() {
            return position.position() == 0;
        }
    }

    /**
     * A decision on the successor of a primary.
     *
     * @param member the member to promote, or empty if none may be promoted now
     * @param position the end of the member's log, or the start of the log if no member may be promoted
     * @param stepsDownFirst whether the member takes itself for the primary. Until it has stepped down, a daemon that
     *     knows of the promotion, but not of the term above the member's own, would take it for the promoted primary
     * @param repeated whether an earlier promotion of the member may still be carried out
     * @param awaited the members whose reports are missing, sorted; empty if the decision does not depend on them
     * @param reason the reason, for the log
     */
    public record Decision(
            Optional<String> member,
            LogPosition position,
            boolean stepsDownFirst,
            boolean repeated,
            ImmutableList<String> awaited,
            String reason) {}

    private SuccessorChoice(Builder builder) {
        this.synchronousReplicas = builder.synchronousReplicas;
        this.reports = builder.reports;
        this.possibleHolders = builder.possibleHolders;
        this.requiredPosition = builder.requiredPosition;
        this.earlierPromotion = builder.earlierPromotion;
    }

    /** Returns a builder for a group without synchronous replicas and without reports. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns which member has to be promoted. */
    public Decision decide() {
        return synchronousReplicas == 0 ? decideByEligibility() : decideByCompleteness();
    }

    private Decision decideByEligibility() {
        if (earlierPromotion != null && !isEmptyBesideOthers(earlierPromotion)) {
            return repeat(earlierPromotion);
        }
        if (earlierPromotion != null && earlierPromotion.mayBeCarriedOut()) {
            return await(
                    List.of(),
                    "an earlier promotion of " + earlierPromotion.member() + " is pending, but its log is empty");
        }
        return reports.stream()
                .filter(LogReport::eligible)
                .max(BY_LOG)
                .map(report -> promote(report, "the longest log of the eligible members"))
                .orElseGet(() -> await(List.of(), "no member is eligible for promotion"));
    }

    private Decision decideByCompleteness() {
        Set<String> missing = new TreeSet<>(possibleHolders);
        reports.forEach(report -> missing.remove(report.member()));
        boolean complete = missing.size() <= synchronousReplicas;
        LogReport longest = reports.stream().max(BY_LOG_THEN_ELIGIBILITY).orElse(null);
        if (earlierPromotion != null) {
            if (hasKeptItsLog(earlierPromotion, complete ? longest : null)) {
                return repeat(earlierPromotion);
            }
            if (earlierPromotion.mayBeCarriedOut()) {
                return await(
                        missing,
                        "an earlier promotion of " + earlierPromotion.member()
                                + " is pending; its log may be incomplete");
            }
        }
        if (longest == null) {
            return await(missing, "no member reported its log");
        }
        if (!longest.listed()) {
            return await(
                    List.of(longest.member()),
                    "the member with the longest log is not listed, but may have an acknowledged commit");
        }
        if (!requiredPosition.equals(LogPosition.START)) {
            return longest.position().covers(requiredPosition)
                    ? promote(longest, "its log contains that of the old primary")
                    : await(missing, "no member has caught up with the old primary");
        }
        return complete
                ? promote(longest, "the longest log, with all acknowledged commits")
                : await(missing, "a member that did not report may be the only one with an acknowledged commit");
    }

    /**
     * Returns whether the member of an earlier promotion still has the log for which it was chosen.
     *
     * @param longest the longest log, or null if it may lack acknowledged commits
     */
    private boolean hasKeptItsLog(EarlierPromotion earlier, @Nullable LogReport longest) {
        LogPosition needed = earlier.position();
        LogPosition reported =
                reportOf(earlier.member()).map(LogReport::position).orElse(null);
        if (needed == null) {
            return longest != null && longest.position().equals(reported);
        }
        // A member that does not answer has been ordered to lead already, so a repetition cannot do more harm.
        return reported == null || reported.covers(needed);
    }

    /**
     * Returns whether the member of an earlier promotion has started again without its log, which others still have.
     */
    private boolean isEmptyBesideOthers(EarlierPromotion earlier) {
        return reportOf(earlier.member()).filter(LogReport::isEmpty).isPresent()
                && reports.stream().anyMatch(report -> !report.isEmpty());
    }

    private Optional<LogReport> reportOf(String member) {
        return reports.stream().filter(report -> report.member().equals(member)).findFirst();
    }

    private Decision repeat(EarlierPromotion earlier) {
        Optional<LogReport> report = reportOf(earlier.member());
        LogPosition position = report.map(LogReport::position)
                .orElse(earlier.position() == null ? LogPosition.START : earlier.position());
        String reason = "an earlier promotion may still be carried out";
        boolean stepsDownFirst = report.filter(LogReport::primary).isPresent();
        return new Decision(Optional.of(earlier.member()), position, stepsDownFirst, true, ImmutableList.of(), reason);
    }

    private static Decision promote(LogReport report, String reason) {
        return new Decision(
                Optional.of(report.member()), report.position(), report.primary(), false, ImmutableList.of(), reason);
    }

    private static Decision await(Collection<String> awaited, String reason) {
        return new Decision(Optional.empty(), LogPosition.START, false, false, ImmutableList.copyOf(awaited), reason);
    }

    /** Builds a choice. Not thread-safe. */
    public static final class Builder {
        private int synchronousReplicas;
        private ImmutableList<LogReport> reports = ImmutableList.of();
        private ImmutableSet<String> possibleHolders = ImmutableSet.of();
        private LogPosition requiredPosition = LogPosition.START;
        private @Nullable EarlierPromotion earlierPromotion;

        private Builder() {}

        /**
         * Sets how many replicas receive a commit before it is acknowledged.
         *
         * @throws IllegalArgumentException if the number is negative
         */
        public Builder synchronousReplicas(int value) {
            checkArgument(value >= 0, "synchronousReplicas must not be negative, was %s", value);
            synchronousReplicas = value;
            return this;
        }

        /** Sets the reports of the members that answered. */
        public Builder reports(Collection<LogReport> value) {
            reports = ImmutableList.copyOf(value);
            return this;
        }

        /** Sets the members that may hold acknowledged commits, those without a report and the old primary included. */
        public Builder possibleHolders(Collection<String> value) {
            possibleHolders = ImmutableSet.copyOf(value);
            return this;
        }

        /** Sets the end of the log of a primary that has stepped down; the start of the log if it is not known. */
        public Builder requiredPosition(LogPosition value) {
            requiredPosition = checkNotNull(value, "requiredPosition");
            return this;
        }

        /** Sets the promotion whose outcome is not known, or none. */
        public Builder earlierPromotion(Optional<EarlierPromotion> value) {
            earlierPromotion = value.orElse(null);
            return this;
        }

        /** Returns the choice. */
        public SuccessorChoice build() {
            return new SuccessorChoice(this);
        }
    }
}
