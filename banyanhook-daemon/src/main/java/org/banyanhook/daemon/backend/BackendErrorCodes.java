package org.banyanhook.daemon.backend;

import com.google.common.collect.ImmutableSet;

/** The error codes with which a backend server says that it did not run a request. */
public final class BackendErrorCodes {

    /** The server accepted another term than the request named. */
    public static final String WRONG_TERM = "wrong-term";

    /** The server is no primary and was asked to write. */
    public static final String NOT_PRIMARY = "not-primary";

    /** The server has as many connections as it takes. */
    public static final String TOO_MANY_CONNECTIONS = "too-many-connections";

    /** The statement is in error. */
    public static final String STATEMENT_REJECTED = "statement-rejected";

    /** The idempotency key was used with another statement. */
    public static final String IDEMPOTENCY_KEY_REUSED = "idempotency-key-reused";

    /** The connection has no transaction. */
    public static final String NO_TRANSACTION = "no-transaction";

    /** The connection has a transaction already. */
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
