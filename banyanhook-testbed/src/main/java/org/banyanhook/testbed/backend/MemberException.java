package org.banyanhook.testbed.backend;

/** A member refused a call; nothing ran. */
final class MemberException extends Exception {

    private static final long serialVersionUID = 1L;

    /** The kinds of refusal. */
    enum Kind {
        WRONG_TERM("wrong-term", 409),
        STALE_TERM("stale-term", 409),
        NOT_FENCED("not-fenced", 409),
        NOT_PRIMARY("not-primary", 409),
        IDEMPOTENCY_KEY_REUSED("idempotency-key-reused", 409),
        NO_TRANSACTION("no-transaction", 409),
        TRANSACTION_OPEN("transaction-open", 409),
        STATEMENT_REJECTED("statement-rejected", 422);

        private final String label;
        private final int httpStatus;

        Kind(String label, int httpStatus) {
            this.label = label;
            this.httpStatus = httpStatus;
        }

        String label() {
            return label;
        }

        int httpStatus() {
            return httpStatus;
        }
    }

    private final Kind kind;

    MemberException(Kind kind, String detail) {
        super(detail);
        this.kind = kind;
    }

    Kind kind() {
        return kind;
    }
}
