package org.banyanhook.gateway.message;

/** The transaction state of a session or a member connection between two statements. */
public enum TransactionState {
    IDLE,
    OPEN,
    FAILED
}
