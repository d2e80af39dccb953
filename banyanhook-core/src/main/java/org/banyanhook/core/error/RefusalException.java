package org.banyanhook.core.error;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Signals that a request or command was refused, with the kind of refusal, what is known about execution, and the
 * remedy.
 */
public final class RefusalException extends Exception {

    private static final long serialVersionUID = 1L;

    private final RefusalKind kind;
    private final Execution execution;
    private final String detail;
    private final @Nullable Duration retryAfter;

    private RefusalException(Builder builder) {
        super(builder.kind.label() + ": " + builder.detail + " " + builder.kind.remedy(), builder.cause);
        this.kind = builder.kind;
        this.execution = builder.execution;
        this.detail = builder.detail;
        this.retryAfter = builder.retryAfter;
    }

    /**
     * Creates a refusal of a request that did not run.
     *
     * @param kind the kind of refusal
     * @param detail what was wrong with this request, naming the value but no key and no session token
     * @return the exception, not thrown
     */
    public static RefusalException notRun(RefusalKind kind, String detail) {
        return builder(kind).detail(detail).build();
    }

    /**
     * Creates a builder of a refusal whose execution is {@link Execution#NOT_RUN} until set.
     *
     * @param kind the kind of refusal
     * @return a new builder
     */
    public static Builder builder(RefusalKind kind) {
        return new Builder(kind);
    }

    /** Returns the kind of refusal. */
    public RefusalKind kind() {
        return kind;
    }

    /** Returns what is known about whether the request ran. */
    public Execution execution() {
        return execution;
    }

    /** Returns what was wrong with this request. */
    public String detail() {
        return detail;
    }

    /** Returns how long to wait before a retry, if waiting helps. */
    public Optional<Duration> retryAfter() {
        return Optional.ofNullable(retryAfter);
    }

    /** Builds a {@link RefusalException}. Not safe for use by several threads. */
    public static final class Builder {
        private final RefusalKind kind;
        private Execution execution = Execution.NOT_RUN;
        private String detail = "";
        private @Nullable Duration retryAfter;
        private @Nullable Throwable cause;

        private Builder(RefusalKind kind) {
            this.kind = requireNonNull(kind, "kind");
        }

        /** Sets what is known about execution. */
        public Builder execution(Execution value) {
            this.execution = requireNonNull(value, "execution");
            return this;
        }

        /** Sets what was wrong with the request. */
        public Builder detail(String value) {
            this.detail = requireNonNull(value, "detail");
            return this;
        }

        /** Sets how long to wait before a retry. */
        public Builder retryAfter(Duration value) {
            this.retryAfter = requireNonNull(value, "retryAfter");
            return this;
        }

        /** Sets the cause. */
        public Builder cause(Throwable value) {
            this.cause = requireNonNull(value, "cause");
            return this;
        }

        /** Creates the exception, not thrown. */
        public RefusalException build() {
            return new RefusalException(this);
        }
    }
}
