package org.banyanhook.core.key;

/** The handling of requests with a key on an entry VM that cannot receive withdrawals made elsewhere. */
public enum KeyPolicy {
    /** Continues to accept the keys that are granted in its configuration. */
    SERVE,
    /** Refuses requests with a key until the platform or another failure domain is reachable again. */
    REFUSE
}
