package org.banyanhook.gateway.message;

/** The state of a session or member connection between two statements. */
public enum TransactionState {
    IDLE,
    OPEN,
    FAILED
}
