package org.banyanhook.gateway.session;

import org.banyanhook.gateway.message.SessionError;
import org.banyanhook.gateway.usage.UsageMeter;
import org.jspecify.annotations.Nullable;

/**
 * Counts one operation of a caller, a single statement or a transaction, once: in the moment in which a statement was
 * first sent to a member that did not refuse it.
 */
final class OperationUsage {

    private final UsageMeter meter;
    private final String account;
    private State state = State.NOT_SENT;
    private long window;

    private enum State {
        NOT_SENT,
        UNANSWERED,
        COUNTED
    }

    /**
     * Creates an operation that was not sent.
     *
     * @param meter the meter
     * @param account the client account
     */
    OperationUsage(UsageMeter meter, String account) {
        // Callers without a key have no client account, so that no usage is reported for them.
        this.meter = account.equals(SessionAuthorization.PUBLIC_ACCOUNT.name()) ? UsageMeter.NONE : meter;
        this.account = account;
    }

    void recordSent() {
        if (state == State.NOT_SENT) {
            state = State.UNANSWERED;
            window = meter.recordSent(account);
        }
    }

    /** Records the answer to a statement, with its error if it failed. */
    void recordAnswer(@Nullable SessionError error) {
        if (state == State.UNANSWERED && error != null && error.isRefusal()) {
            state = State.NOT_SENT;
            meter.recordRefused(window, account);
        } else {
            recordUnanswered();
        }
    }

    /** Records that no answer will tell whether a statement has run. */
    void recordUnanswered() {
        if (state == State.UNANSWERED) {
            state = State.COUNTED;
            meter.recordRan(window, account);
        }
    }
}
