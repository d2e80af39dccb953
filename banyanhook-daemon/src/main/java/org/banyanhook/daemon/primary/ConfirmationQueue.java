package org.banyanhook.daemon.primary;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.error.Execution;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.core.primary.ConfirmationResult;
import org.banyanhook.core.primary.GroupView;
import org.banyanhook.core.primary.MajorityConfirmation;
import org.banyanhook.core.primary.MemberObservation;
import org.banyanhook.core.replication.LogPosition;

/** The pending confirmations of commits and reads of one database. Confined to the controller's thread. */
final class ConfirmationQueue {

    private final ControllerContext context;
    private final Deque<PendingConfirmation> pendingConfirmations = new ArrayDeque<>();

    ConfirmationQueue(ControllerContext context) {
        this.context = context;
    }

    void add(PendingConfirmation pending) {
        pendingConfirmations.add(pending);
    }

    boolean isEmpty() {
        return pendingConfirmations.isEmpty();
    }

    Optional<Long> oldestRegisteredNanos() {
        return Optional.ofNullable(pendingConfirmations.peekFirst()).map(PendingConfirmation::registeredNanos);
    }

    /** Returns whether any confirmation is pending that the last status of a member does not confirm. */
    boolean needsAnotherRead(Optional<MemberObservation> observation) {
        return pendingConfirmations.stream()
                .anyMatch(pending -> observation.isEmpty() || !confirms(observation.get(), pending));
    }

    /** Returns whether a confirmation was registered at or after the start of a read. */
    boolean hasRegisteredSince(long readStartedNanos) {
        PendingConfirmation newest = pendingConfirmations.peekLast();
        return newest != null && newest.registeredNanos() - readStartedNanos >= 0;
    }

    private static boolean confirms(MemberObservation observation, PendingConfirmation pending) {
        return observation.readBeganNanos() - pending.registeredNanos() > 0
                && observation.status().confirms(pending.position());
    }

    /** Completes every pending confirmation that is confirmed or superseded according to the observations. */
    void completeDecided(GroupView view) {
        Collection<MemberObservation> observations = view.observations().values();
        int majority = view.database().majoritySize();
        for (Iterator<PendingConfirmation> iterator = pendingConfirmations.iterator(); iterator.hasNext(); ) {
            PendingConfirmation pending = iterator.next();
            ConfirmationResult result = MajorityConfirmation.evaluate(
                    observations, majority, pending.position(), pending.registeredNanos());
            if (result != ConfirmationResult.WAITING) {
                iterator.remove();
                complete(pending, result, view);
            }
        }
    }

    /** Fails every pending confirmation whose deadline has passed. */
    void failExpired(GroupView view, long nowNanos) {
        for (Iterator<PendingConfirmation> iterator = pendingConfirmations.iterator(); iterator.hasNext(); ) {
            PendingConfirmation pending = iterator.next();
            if (nowNanos - pending.deadlineNanos() >= 0) {
                iterator.remove();
                context.metrics().recordConfirmationFailure("timeout");
                fail(
                        pending,
                        RefusalKind.OUTCOME_UNKNOWN,
                        "position " + pending.position() + " of database "
                                + view.database().name() + " was not confirmed by "
                                + view.database().majoritySize() + " members in time");
            }
        }
    }

    private void complete(PendingConfirmation pending, ConfirmationResult result, GroupView view) {
        if (result == ConfirmationResult.CONFIRMED) {
            context.metrics().recordConfirmation(context.nowNanos() - pending.registeredNanos());
            context.callbackExecutor().execute(() -> pending.future().complete(null));
            return;
        }
        context.metrics().recordConfirmationFailure("superseded");
        fail(
                pending,
                RefusalKind.PRIMARY_CHANGED,
                "term " + pending.position().term() + " of database "
                        + view.database().name() + " was superseded by term " + view.highestTerm());
    }

    private void fail(PendingConfirmation pending, RefusalKind kind, String detail) {
        RefusalException refusal = RefusalException.builder(kind)
                .execution(Execution.UNKNOWN)
                .detail(detail)
                .build();
        context.callbackExecutor().execute(() -> pending.future().completeExceptionally(refusal));
    }

    /**
     * A commit or read that waits for confirmation.
     *
     * @param position the log position to confirm
     * @param registeredNanos when the confirmation was requested; only status reads started later count
     * @param deadlineNanos when the confirmation fails unless decided before
     * @param future the future to complete with the result
     */
    record PendingConfirmation(
            LogPosition position, long registeredNanos, long deadlineNanos, CompletableFuture<Void> future) {}
}
