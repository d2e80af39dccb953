package org.banyanhook.core.execution;

/**
 * Whether the next statement of an open transaction may run.
 *
 * <p>Load pattern: what a transaction relied on when it began is withdrawn while it is open. Its key is taken away, the
 * failure domain of its member is taken out, or its entry VM is stopped. New work is refused then, and open work has to
 * end as well, since a caller can keep a transaction open for as long as it sends statements.
 */
public enum TransactionContinuation {
    /** Nothing that the transaction relies on has been withdrawn. */
    CONTINUES(""),
    /** The key is not granted to the account of the transaction any more. */
    KEY_WITHDRAWN("the key was withdrawn; ask an operator for a granted key"),
    /** The answer might not arrive before this process ends. */
    ENTRY_VM_STOPS("this entry VM is being stopped; begin a new transaction on a new connection"),
    /** Operators have taken out the failure domain of the member, and the time for open work has passed. */
    DOMAIN_TAKEN_OUT("the failure domain of the member was taken out; begin a new transaction");

    private final String detail;

    TransactionContinuation(String detail) {
        this.detail = detail;
    }

    /**
     * Decides whether the next statement may run.
     *
     * @param keyGranted whether the key of the session is granted to the account of the transaction
     * @param timeLeft whether the statement can be answered before this process ends
     * @param takenOutNanos for how long the failure domain of the member has been taken out, 0 if it is in service
     * @param takenOutLimitNanos how long open work may go on in a domain that was taken out
     * @return {@link #CONTINUES}, or the reason why the transaction has to be rolled back
     */
    public static TransactionContinuation decide(
            boolean keyGranted, boolean timeLeft, long takenOutNanos, long takenOutLimitNanos) {
        if (!keyGranted) {
            return KEY_WITHDRAWN;
        }
        if (!timeLeft) {
            return ENTRY_VM_STOPS;
        }
        return takenOutNanos > takenOutLimitNanos ? DOMAIN_TAKEN_OUT : CONTINUES;
    }

    /** Returns what the caller is told, with the remedy. */
    public String detail() {
        return detail;
    }
}
