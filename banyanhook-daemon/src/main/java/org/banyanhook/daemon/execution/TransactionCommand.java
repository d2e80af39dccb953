package org.banyanhook.daemon.execution;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.banyanhook.core.configuration.Route;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.core.transaction.TransactionId;
import org.banyanhook.core.transaction.TransactionStep;
import org.jspecify.annotations.Nullable;

/** A transaction step to execute for one client account. Immutable. */
public final class TransactionCommand {

    private final TransactionStep step;
    private final String requestId;
    private final String account;
    private final String service;
    private final String database;
    private final @Nullable Route route;
    private final @Nullable TransactionId transaction;
    private final String statement;
    private final @Nullable String idempotencyKey;
    private final LogPosition sessionPosition;
    private final long deadlineNanos;

    private TransactionCommand(Builder builder) {
        this.step = builder.step;
        this.requestId = requireNonNull(builder.requestId, "requestId");
        this.account = requireNonNull(builder.account, "account");
        this.service = requireNonNull(builder.service, "service");
        this.database = requireNonNull(builder.database, "database");
        this.route = builder.route;
        this.transaction = builder.transaction;
        this.statement = builder.statement;
        this.idempotencyKey = builder.idempotencyKey;
        this.sessionPosition = builder.sessionPosition;
        this.deadlineNanos = builder.deadlineNanos;
    }

    /** Returns a new builder for a step. */
    public static Builder builder(TransactionStep step) {
        return new Builder(step);
    }

    /** Returns the kind of step. */
    public TransactionStep step() {
        return step;
    }

    /** Returns the id of the caller's request. */
    public String requestId() {
        return requestId;
    }

    /** Returns the name of the client account. */
    public String account() {
        return account;
    }

    /** Returns the name of the service. */
    public String service() {
        return service;
    }

    /** Returns the name of the database. */
    public String database() {
        return database;
    }

    /** Returns the route of a begin; not available for other steps. */
    public Route beginRoute() {
        return requireNonNull(route, "only a begin has a route");
    }

    /** Returns the id of the transaction; not available for a begin. */
    public TransactionId transaction() {
        return requireNonNull(transaction, "a begin has no transaction yet");
    }

    /** Returns the text of the statement, empty for other steps. */
    public String statement() {
        return statement;
    }

    /** Returns the idempotency key of a commit, or empty if the caller sent none. */
    public Optional<String> idempotencyKey() {
        return Optional.ofNullable(idempotencyKey);
    }

    /** Returns the log position that the session has seen. */
    public LogPosition sessionPosition() {
        return sessionPosition;
    }

    /** Returns the time when the caller stops waiting, by {@link System#nanoTime}. */
    public long deadlineNanos() {
        return deadlineNanos;
    }

    /** Builds a {@link TransactionCommand}. Not safe for use by several threads. */
    public static final class Builder {
        private final TransactionStep step;
        private @Nullable String requestId;
        private @Nullable String account;
        private @Nullable String service;
        private @Nullable String database;
        private @Nullable Route route;
        private @Nullable TransactionId transaction;
        private String statement = "";
        private @Nullable String idempotencyKey;
        private LogPosition sessionPosition = LogPosition.START;
        private long deadlineNanos;

        private Builder(TransactionStep step) {
            this.step = requireNonNull(step, "step");
        }

        /** Sets the id of the caller's request. */
        public Builder requestId(String value) {
            this.requestId = value;
            return this;
        }

        /** Sets the name of the client account. */
        public Builder account(String value) {
            this.account = value;
            return this;
        }

        /** Sets the name of the service. */
        public Builder service(String value) {
            this.service = value;
            return this;
        }

        /** Sets the name of the database. */
        public Builder database(String value) {
            this.database = value;
            return this;
        }

        /** Sets the route of a begin. */
        public Builder route(Route value) {
            this.route = value;
            return this;
        }

        /** Sets the id of the transaction, for every step except a begin. */
        public Builder transaction(TransactionId value) {
            this.transaction = value;
            this.database = value.database();
            return this;
        }

        /** Sets the text of the statement. */
        public Builder statement(String value) {
            this.statement = requireNonNull(value, "statement");
            return this;
        }

        /** Sets the idempotency key of a commit, null for none. */
        public Builder idempotencyKey(@Nullable String value) {
            this.idempotencyKey = value;
            return this;
        }

        /** Sets the log position that the session has seen. */
        public Builder sessionPosition(LogPosition value) {
            this.sessionPosition = value;
            return this;
        }

        /** Sets the time when the caller stops waiting, by {@link System#nanoTime}. */
        public Builder deadlineNanos(long value) {
            this.deadlineNanos = value;
            return this;
        }

        /** Creates the command. */
        public TransactionCommand build() {
            return new TransactionCommand(this);
        }
    }
}
