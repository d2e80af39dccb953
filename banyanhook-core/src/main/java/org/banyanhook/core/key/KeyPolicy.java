package org.banyanhook.core.key;

/** What an entry VM does with keyed requests while it cannot learn of withdrawals made elsewhere. */
public enum KeyPolicy {
    /** Goes on accepting the keys that it knows as granted. */
    SERVE,
    /** Refuses keyed requests until it reaches the platform or another failure domain again. */
    REFUSE
}
