package org.banyanhook.core.configuration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The load limits of the members of a database group.
 *
 * @param group the name of the database group
 * @param connectionLimit the maximum number of connections that the whole fleet may have open to one member
 * @param warmUpRequestsPerSecond the maximum number of requests per second to a member that is warming up; 0 for no
 *     limit
 */
public record GroupLimits(String group, int connectionLimit, double warmUpRequestsPerSecond) {
    public GroupLimits {
        checkArgument(connectionLimit > 0, "connectionLimit of group %s must be positive", group);
        checkArgument(warmUpRequestsPerSecond >= 0, "warmUpRequestsPerSecond of group %s must not be negative", group);
    }
}
