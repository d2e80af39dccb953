package org.banyanhook.core.configuration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What the members of a database group bear.
 *
 * @param group the name of the database group
 * @param connectionLimit how many connections the whole fleet may have open to one member
 * @param warmUpRequestsPerSecond how many requests a second a member that is warming up may get; 0 for no limit
 */
public record GroupLimits(String group, int connectionLimit, double warmUpRequestsPerSecond) {
    public GroupLimits {
        checkArgument(connectionLimit > 0, "connectionLimit of group %s must be positive", group);
        checkArgument(warmUpRequestsPerSecond >= 0, "warmUpRequestsPerSecond of group %s must not be negative", group);
    }
}
