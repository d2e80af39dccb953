package org.banyanhook.gateway.session;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.banyanhook.core.execution.ShutdownSchedule;
import org.jspecify.annotations.Nullable;

/** The registry of all sessions of this daemon. Confined to the event loop. */
public final class SessionRegistry {

    private final Set<Session> sessions = new HashSet<>();
    private @Nullable ShutdownSchedule shutdown;

    void add(Session session) {
        sessions.add(session);
        ShutdownSchedule begun = shutdown;
        if (begun != null) {
            session.beginShutdown(begun);
            session.drain();
        }
    }

    void remove(Session session) {
        sessions.remove(session);
    }

    /** Returns the number of sessions. */
    public int size() {
        return sessions.size();
    }

    /** Returns whether a transaction or statement is in progress in any session. */
    public boolean isActive() {
        return sessions.stream().anyMatch(Session::isActive);
    }

    /**
     * Refuses statements that may not be answered in time from now on. Future sessions are closed when inactive.
     *
     * @param schedule decides which statements still run
     */
    public void beginShutdown(ShutdownSchedule schedule) {
        shutdown = schedule;
        sessions.forEach(session -> session.beginShutdown(schedule));
    }

    /**
     * Closes every present and future session as soon as it is inactive.
     *
     * @param schedule decides which statements still run
     */
    public void drain(ShutdownSchedule schedule) {
        beginShutdown(schedule);
        List.copyOf(sessions).forEach(Session::drain);
    }

    /** Answers every request that has no answer yet and closes all sessions, because the process ends. */
    public void conclude() {
        // Otherwise the connections of statements that are ended would serve those that wait.
        List.copyOf(sessions).forEach(Session::refuseWaiting);
        List.copyOf(sessions).forEach(Session::conclude);
    }

    /** Returns in how many sessions a request has no answer yet. */
    public int countAwaitingAnswer() {
        return count(Session::awaitsAnswer);
    }

    /** Returns in how many sessions a transaction is open. */
    public int countTransactions() {
        return count(Session::hasTransaction);
    }

    private int count(Predicate<Session> condition) {
        return (int) sessions.stream().filter(condition).count();
    }

    /** Rolls back the transactions that have exceeded the idle timeout. */
    public void rollBackIdleTransactions(SessionContext context) {
        long now = context.clock().nowNanos();
        long timeoutNanos = Session.idleTransactionTimeoutNanos(context);
        List.copyOf(sessions).forEach(session -> session.rollBackIdleTransaction(now, timeoutNanos));
    }
}
