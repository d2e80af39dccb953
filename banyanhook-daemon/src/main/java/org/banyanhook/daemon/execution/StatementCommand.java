package org.banyanhook.daemon.execution;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.banyanhook.core.configuration.Route;
import org.banyanhook.core.replication.LogPosition;
import org.jspecify.annotations.Nullable;

/** A statement to execute for one client account. Immutable. */
public final class StatementCommand {

    private final String requestId;
    private final String account;
    private final String service;
    private final String database;
    private final Route route;
    private final String statement;
    private final @Nullable String idempotencyKey;
    private final LogPosition sessionPosition;
    private final long deadlineNanos;

    private StatementCommand(Builder builder) {
        this.requestId = requireNonEmpty(builder.requestId, "requestId");
        this.account = requireNonEmpty(builder.account, "account");
        this.service = requireNonEmpty(builder.service, "service");
        this.database = requireNonEmpty(builder.database, "database");
        this.route = requireNonNull(builder.route, "route");
        this.statement = requireNonEmpty(builder.statement, "statement");
        this.idempotencyKey = builder.idempotencyKey;
        this.sessionPosition = builder.sessionPosition;
        this.deadlineNanos = builder.deadlineNanos;
    }

    /** Returns a new builder. */
    public static Builder builder() {
        return new Builder();
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

    /** Returns the route. */
    public Route route() {
        return route;
    }

    /** Returns the text of the statement. */
    public String statement() {
        return statement;
    }

    /** Returns the idempotency key, or empty if the caller sent none. */
    public Optional<String> idempotencyKey() {
        return Optional.ofNullable(idempotencyKey);
    }

    /** Returns the log position that the answer must cover. */
    public LogPosition sessionPosition() {
        return sessionPosition;
    }

    /** Returns the time when the caller stops waiting, by {@link System#nanoTime}. */
    public long deadlineNanos() {
        return deadlineNanos;
    }

    private static String requireNonEmpty(@Nullable String value, String name) {
        requireNonNull(value, name);
        checkArgument(!value.isEmpty(), "%s must not be empty", name);
        return value;
    }

    /** Builds a {@link StatementCommand}. Not safe for use by several threads. */
    public static final class Builder {
        private @Nullable String requestId;
        private @Nullable String account;
        private @Nullable String service;
        private @Nullable String database;
        private @Nullable Route route;
        private @Nullable String statement;
        private @Nullable String idempotencyKey;
        private LogPosition sessionPosition = LogPosition.START;
        private long deadlineNanos;

        private Builder() {}

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

        /** Sets the route. */
        public Builder route(Route value) {
            this.route = value;
            return this;
        }

        /** Sets the text of the statement. */
        public Builder statement(String value) {
            this.statement = value;
            return this;
        }

        /** Sets the idempotency key, null for none. */
        public Builder idempotencyKey(@Nullable String value) {
            this.idempotencyKey = value;
            return this;
        }

        /** Sets the log position that the answer must cover. */
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
        public StatementCommand build() {
            return new StatementCommand(this);
        }
    }
}
