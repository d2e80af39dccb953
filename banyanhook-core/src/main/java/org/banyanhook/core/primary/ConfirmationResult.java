package org.banyanhook.core.primary;

/** Whether a log position can still be lost. */
public enum ConfirmationResult {
    /** A majority holds the position in its term, so every later primary holds it as well. */
    CONFIRMED,
    /** Too few members are known to hold the position. */
    WAITING,
    /** A majority accepted a later term, so the position can no longer be confirmed in its own term. */
    SUPERSEDED
}
