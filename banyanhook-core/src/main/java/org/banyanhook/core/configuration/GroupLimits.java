package org.banyanhook.core.configuration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The load limits of the members of a database group, and how many of them receive a commit before it is acknowledged.
 *
 * @param group the name of the database group
 * @param connectionLimit the maximum number of connections that the whole fleet may have open to one member
 * @param warmUpRequestsPerSecond the maximum number of requests per second to a member that is warming up; 0 for no
 *     limit
 * @param synchronousReplicas how many replicas receive a commit before it is acknowledged; 0 if the primary does not
 *     wait for any
 */
public record GroupLimits(String group, int connectionLimit, double warmUpRequestsPerSecond, int synchronousReplicas) {
    public GroupLimits {
        checkArgument(connectionLimit > 0, "connectionLimit of group %s must be positive", group);
        checkArgument(warmUpRequestsPerSecond >= 0, "warmUpRequestsPerSecond of group %s must not be negative", group);
        checkArgument(synchronousReplicas >= 0, "synchronousReplicas of group %s must not be negative", group);
    }
}
