package org.banyanhook.core.error;

/** The kinds of refusal that a caller or operator can receive, each with its HTTP status and remedy. */
public enum RefusalKind {
    MALFORMED_REQUEST("malformed-request", 400, "Send a JSON object with only the fields that the interface lists."),
    BODY_TOO_LARGE("body-too-large", 413, "Send a body below the limit named in the detail."),
    KEY_MISSING("key-missing", 401, "Send the header 'Authorization: Bearer <key>'."),
    KEY_UNKNOWN("key-unknown", 401, "Ask an operator for a key that is granted to your client account."),
    KEY_WITHDRAWN("key-withdrawn", 401, "Ask an operator to grant a new key; a withdrawn key cannot be used again."),
    SESSION_INVALID("session-invalid", 400, "Send the last Banyanhook-Session value unchanged, or none."),
    SESSION_FULL("session-full", 400, "Send no Banyanhook-Session value, to start a new session."),
    SERVICE_UNKNOWN("service-unknown", 404, "Use a service listed by 'banyanhook show services'."),
    DATABASE_UNKNOWN("database-unknown", 404, "Name a database of the service, or send a partition key."),
    ROUTE_UNKNOWN("route-unknown", 404, "Use a route listed for the service by 'banyanhook show routes'."),
    ROUTE_FORBIDDEN("route-forbidden", 403, "Ask an operator to allow the route for your client account."),
    IDEMPOTENCY_KEY_MISSING("idempotency-key-missing", 400, "Send an Idempotency-Key header for this route."),
    IDEMPOTENCY_KEY_REUSED("idempotency-key-reused", 409, "Send a different statement with its own Idempotency-Key."),
    RATE_EXCEEDED("rate-exceeded", 429, "Send fewer requests, or ask an operator for a higher rate."),
    QUEUE_FULL("queue-full", 503, "Retry after the time in Retry-After."),
    DEADLINE_EXCEEDED("deadline-exceeded", 504, "Retry with a longer deadline."),
    PRIMARY_UNAVAILABLE("primary-unavailable", 503, "Retry after the time in Retry-After."),
    PRIMARY_CHANGED("primary-changed", 503, "Retry; the database group has a new primary."),
    REPLICATION_LAGGING(
            "replication-lagging", 503, "Retry after the time in Retry-After, when replicas have caught up."),
    BACKEND_UNAVAILABLE("backend-unavailable", 503, "Retry after the time in Retry-After."),
    STATEMENT_REJECTED("statement-rejected", 422, "Correct the statement as the detail says."),
    OUTCOME_UNKNOWN(
            "outcome-unknown", 504, "Ask for the outcome under your idempotency key, or retry under the same key."),
    TRANSACTION_UNKNOWN("transaction-unknown", 404, "Begin a new transaction."),
    TRANSACTION_LOST("transaction-lost", 409, "Begin a new transaction; the database rolled this one back."),
    TRANSACTION_BUSY(
            "transaction-busy",
            409,
            "Wait for the answer to the transaction's last request before sending the next one."),
    ENTRY_VM_DRAINING("entry-vm-draining", 503, "Retry on a new connection; this entry VM is shutting down."),
    ENTRY_VM_NOT_READY("entry-vm-not-ready", 503, "Retry on another entry VM; this one has no configuration yet."),
    FAILURE_DOMAIN_TAKEN_OUT("failure-domain-taken-out", 503, "Retry on a new connection to another failure domain."),
    FAILURE_DOMAIN_ISOLATED(
            "failure-domain-isolated", 503, "Retry on another failure domain; this one is isolated from the others."),
    CONFIGURATION_CONFLICT("configuration-conflict", 409, "Read the current version, then issue the command again."),
    CONFIGURATION_INVALID("configuration-invalid", 400, "Correct the value as the detail says."),
    COMMAND_UNKNOWN("command-unknown", 400, "Use one of the commands listed by 'banyanhook help'."),
    OPERATOR_FORBIDDEN("operator-forbidden", 403, "Use an operator key that has the role named in the detail."),
    PLATFORM_UNAVAILABLE("platform-unavailable", 503, "Retry when the platform's service answers again."),
    PEER_UNAVAILABLE("peer-unavailable", 503, "Retry after the time in Retry-After."),
    INTERNAL_FAULT("internal-fault", 500, "Report the request id to the operators.");

    private final String label;
    private final int httpStatus;
    private final String remedy;

    RefusalKind(String label, int httpStatus, String remedy) {
        this.label = label;
        this.httpStatus = httpStatus;
        this.remedy = remedy;
    }

    /** Returns the name of the kind in answers and messages. */
    public String label() {
        return label;
    }

    /** Returns the HTTP status of the refusal. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns what the receiver can do about the refusal. */
    public String remedy() {
        return remedy;
    }
}
