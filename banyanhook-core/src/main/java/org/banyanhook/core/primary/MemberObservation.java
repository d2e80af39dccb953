package org.banyanhook.core.primary;

import static java.util.Objects.requireNonNull;

/**
 * The status of a member and the time at which it was requested.
 *
 * @param status the status that the member reported
 * @param readBeganNanos the reading of the observer's monotonic clock just before it sent the request
 */
public record MemberObservation(MemberStatus status, long readBeganNanos) {
    public MemberObservation {
        requireNonNull(status, "status");
    }
}
