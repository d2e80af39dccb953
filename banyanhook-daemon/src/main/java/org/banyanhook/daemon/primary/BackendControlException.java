package org.banyanhook.daemon.primary;

import java.util.Optional;
import org.banyanhook.core.primary.MemberStatus;
import org.jspecify.annotations.Nullable;

/** A control call to a backend server failed. */
public final class BackendControlException extends Exception {

    private static final long serialVersionUID = 1L;

    /** The kinds of failure. */
    public enum Kind {
        /** No answer came in time; the call may have taken effect. */
        UNREACHABLE,
        /** The backend server refused the call; it changed nothing. */
        REFUSED,
        /** The answer could not be read; the call may have taken effect. */
        MALFORMED
    }

    private final Kind kind;
    private final transient @Nullable MemberStatus status;

    /**
     * Creates an exception.
     *
     * @param kind the kind of failure
     * @param message what failed and what to do about it
     * @param status the status that came with a refusal, or null
     */
    public BackendControlException(Kind kind, String message, @Nullable MemberStatus status) {
        super(message);
        this.kind = kind;
        this.status = status;
    }

    /** Returns the kind of failure. */
    public Kind kind() {
        return kind;
    }

    /** Returns the status that came with a refusal. */
    public Optional<MemberStatus> status() {
        return Optional.ofNullable(status);
    }
}
