package org.banyanhook.core.primary;

import static java.util.Objects.requireNonNull;

/**
 * A status and when it was asked for.
 *
 * @param status what the member answered
 * @param readBeganNanos the reading of the observer's monotonic clock just before it sent the request
 */
public record MemberObservation(MemberStatus status, long readBeganNanos) {
    public MemberObservation {
        requireNonNull(status, "status");
    }
}
