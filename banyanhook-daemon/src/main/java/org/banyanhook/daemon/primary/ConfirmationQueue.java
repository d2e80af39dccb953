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

/** The commits and reads of one database that wait for a majority. Used on the controller's thread only. */
final class ConfirmationQueue {

    private final ControllerContext context;
    private final Deque<Waiter> waiters = new ArrayDeque<>();

    ConfirmationQueue(ControllerContext context) {
        this.context = context;
    }

    void add(Waiter waiter) {
        waiters.add(waiter);
    }

    boolean isEmpty() {
        return waiters.isEmpty();
    }

    Optional<Long> oldestWaitNanos() {
        return Optional.ofNullable(waiters.peekFirst()).map(Waiter::registeredNanos);
    }

    /** Tells whether a read of a member that began at a time leaves waiters that the member might still satisfy. */
    boolean needsAnotherRead(Optional<MemberObservation> observation) {
        return waiters.stream().anyMatch(waiter -> observation.isEmpty() || !counts(observation.get(), waiter));
    }

    /** Tells whether a waiter was added after a read began. */
    boolean hasWaiterAfter(long beganNanos) {
        Waiter newest = waiters.peekLast();
        return newest != null && newest.registeredNanos() - beganNanos >= 0;
    }

    private static boolean counts(MemberObservation observation, Waiter waiter) {
        return observation.readBeganNanos() - waiter.registeredNanos() > 0
                && observation.status().confirms(waiter.position());
    }

    /** Completes every waiter that the observations decide. */
    void resolve(GroupView view) {
        Collection<MemberObservation> observations = view.observations().values();
        int majority = view.database().majoritySize();
        for (Iterator<Waiter> iterator = waiters.iterator(); iterator.hasNext(); ) {
            Waiter waiter = iterator.next();
            ConfirmationResult result =
                    MajorityConfirmation.evaluate(observations, majority, waiter.position(), waiter.registeredNanos());
            if (result != ConfirmationResult.WAITING) {
                iterator.remove();
                complete(waiter, result, view);
            }
        }
    }

    /** Fails every waiter whose time is over. */
    void expire(GroupView view, long nowNanos) {
        for (Iterator<Waiter> iterator = waiters.iterator(); iterator.hasNext(); ) {
            Waiter waiter = iterator.next();
            if (nowNanos - waiter.deadlineNanos() >= 0) {
                iterator.remove();
                context.metrics().notConfirmed("timeout");
                fail(
                        waiter,
                        RefusalKind.OUTCOME_UNKNOWN,
                        "position " + waiter.position() + " of database "
                                + view.database().name() + " was not confirmed by "
                                + view.database().majoritySize() + " members in time");
            }
        }
    }

    private void complete(Waiter waiter, ConfirmationResult result, GroupView view) {
        if (result == ConfirmationResult.CONFIRMED) {
            context.metrics().confirmed(context.now() - waiter.registeredNanos());
            context.callbacks().execute(() -> waiter.future().complete(null));
            return;
        }
        context.metrics().notConfirmed("superseded");
        fail(
                waiter,
                RefusalKind.PRIMARY_CHANGED,
                "term " + waiter.position().term() + " of database "
                        + view.database().name() + " was superseded by term " + view.highestTerm());
    }

    private void fail(Waiter waiter, RefusalKind kind, String detail) {
        RefusalException refusal = RefusalException.builder(kind)
                .execution(Execution.UNKNOWN)
                .detail(detail)
                .build();
        context.callbacks().execute(() -> waiter.future().completeExceptionally(refusal));
    }

    /**
     * A commit or read that waits.
     *
     * @param position the place to confirm
     * @param registeredNanos when the wait began; only later reads count
     * @param deadlineNanos when it ends
     * @param future completed with the result
     */
    record Waiter(LogPosition position, long registeredNanos, long deadlineNanos, CompletableFuture<Void> future) {}
}
