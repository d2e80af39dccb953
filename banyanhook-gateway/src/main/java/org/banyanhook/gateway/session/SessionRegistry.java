package org.banyanhook.gateway.session;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** All sessions of this daemon. Used on the event loop only. */
public final class SessionRegistry {

    private final Set<Session> sessions = new HashSet<>();
    private boolean draining;

    void add(Session session) {
        sessions.add(session);
        if (draining) {
            session.drain();
        }
    }

    void remove(Session session) {
        sessions.remove(session);
    }

    /** Returns how many sessions there are. */
    public int size() {
        return sessions.size();
    }

    /** Returns whether any session has a transaction or statement under way. */
    public boolean isActive() {
        return sessions.stream().anyMatch(Session::isActive);
    }

    /** Ends every session as soon as nothing is under way in it. */
    public void drain() {
        draining = true;
        List.copyOf(sessions).forEach(Session::drain);
    }

    /** Rolls back transactions that have rested for too long. */
    public void rollBackIdleTransactions(SessionContext context) {
        long now = context.clock().nowNanos();
        long timeoutNanos = Session.idleTransactionTimeoutNanos(context);
        List.copyOf(sessions).forEach(session -> session.rollBackIdleTransaction(now, timeoutNanos));
    }
}
