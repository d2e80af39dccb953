package org.banyanhook.daemon.caller;

import org.jspecify.annotations.Nullable;

/**
 * The headers of a request that mean something, each null if not sent.
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

    /** Names no value, because the values are secret. */
    @Override
    public String toString() {
        return "CallerHeaders";
    }
}
