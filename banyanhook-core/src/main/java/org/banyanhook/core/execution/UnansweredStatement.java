package org.banyanhook.core.execution;

/**
 * What is known of a statement whose answer is not awaited any longer. The connection to the member is closed, so that
 * an open transaction is rolled back.
 */
public enum UnansweredStatement {
    /** The statement was not sent. */
    NOT_RUN,
    /** The transaction of the statement is rolled back. */
    ROLLED_BACK,
    /** The statement only reads, outside of a transaction. */
    READ,
    /** A write may have been kept. */
    IN_DOUBT;

    /** Whether a statement runs in a transaction, and whether it ends it. */
    public enum Scope {
        /** The statement runs outside of a transaction. */
        ALONE,
        /** The statement belongs to a transaction that goes on. */
        TRANSACTION,
        /** The statement commits a transaction. */
        COMMIT
    }

    /**
     * Decides what is known.
     *
     * @param sent whether the statement was sent to a member
     * @param scope the scope of the statement
     * @param writes whether the statement writes; for {@link Scope#COMMIT}, whether its transaction has written
     * @return what is known
     */
    public static UnansweredStatement decide(boolean sent, Scope scope, boolean writes) {
        if (!sent) {
            return NOT_RUN;
        }
        return switch (scope) {
            case ALONE -> writes ? IN_DOUBT : READ;
            case TRANSACTION -> ROLLED_BACK;
            case COMMIT -> writes ? IN_DOUBT : ROLLED_BACK;
        };
    }
}
