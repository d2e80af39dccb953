package org.banyanhook.core.configuration;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableSet;
import java.util.Set;

/**
 * How sessions that open a database by its name are served.
 *
 * @param databaseName the name that callers open
 * @param group the database group behind it
 * @param freshness what the data of a read must contain
 * @param maximumAgeMillis the age that the data of a read may have, 0 if it must be current
 * @param statementTimeoutMillis how long one statement may take
 * @param targetLatencyMillis the latency objective of a whole operation
 * @param priority 0 is the highest
 * @param openToAll true if no key is needed
 * @param homeRegions the regions whose members and entry VMs may handle it; empty for all
 */
public record DatabaseRoute(
        String databaseName,
        String group,
        ReadFreshness freshness,
        long maximumAgeMillis,
        long statementTimeoutMillis,
        long targetLatencyMillis,
        int priority,
        boolean openToAll,
        Set<String> homeRegions) {
    public DatabaseRoute {
        checkArgument(!databaseName.isEmpty(), "databaseName must not be empty");
        checkArgument(!group.isEmpty(), "group of database %s must not be empty", databaseName);
        checkArgument(maximumAgeMillis >= 0, "maximumAgeMillis must not be negative, was %s", maximumAgeMillis);
        checkArgument(
                statementTimeoutMillis > 0, "statementTimeoutMillis must be positive, was %s", statementTimeoutMillis);
        homeRegions = ImmutableSet.copyOf(homeRegions);
    }
}
