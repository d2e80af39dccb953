package org.banyanhook.daemon.backend;

import com.google.common.collect.ImmutableSet;

/** Error codes of backend servers that mean that the request did not run. */
public final class BackendErrorCodes {

    /** The server has accepted a term other than the term of the request. */
    public static final String WRONG_TERM = "wrong-term";

    /** The server received a write but is not the primary. */
    public static final String NOT_PRIMARY = "not-primary";

    /** The server has reached its connection limit. */
    public static final String TOO_MANY_CONNECTIONS = "too-many-connections";

    /** The server rejected the statement as invalid. */
    public static final String STATEMENT_REJECTED = "statement-rejected";

    /** The idempotency key was already used with another statement. */
    public static final String IDEMPOTENCY_KEY_REUSED = "idempotency-key-reused";

    /** The connection has no open transaction. */
    public static final String NO_TRANSACTION = "no-transaction";

    /** The connection already has an open transaction. */
    public static final String TRANSACTION_OPEN = "transaction-open";

    /** All codes that prove that the request did not run. */
    static final ImmutableSet<String> NOT_RUN_CODES = ImmutableSet.of(
            WRONG_TERM,
            NOT_PRIMARY,
            TOO_MANY_CONNECTIONS,
            STATEMENT_REJECTED,
            IDEMPOTENCY_KEY_REUSED,
            NO_TRANSACTION,
            TRANSACTION_OPEN);

    private BackendErrorCodes() {}
}
