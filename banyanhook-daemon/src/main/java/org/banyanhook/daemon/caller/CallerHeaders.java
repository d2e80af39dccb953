package org.banyanhook.daemon.caller;

import org.jspecify.annotations.Nullable;

/**
 * The request headers that the daemon evaluates; a header that was not sent is null.
 *
 * @param authorization the header {@code Authorization}
 * @param session the header {@code Banyanhook-Session}
 * @param idempotencyKey the header {@code Idempotency-Key}
 */
record CallerHeaders(
        @Nullable String authorization,
        @Nullable String session,
        @Nullable String idempotencyKey) {
    static final String SESSION = "Banyanhook-Session";
    static final String REQUEST_ID = "Banyanhook-Request-Id";
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** Omits the values because they are secret. */
    @Override
    public String toString() {
        return "CallerHeaders";
    }
}
