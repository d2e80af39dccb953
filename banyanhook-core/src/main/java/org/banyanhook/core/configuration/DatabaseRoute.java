package org.banyanhook.core.configuration;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableSet;
import java.util.Set;

/**
 * The settings for sessions that open a database by its name.
 *
 * @param databaseName the name that callers open
 * @param group the database group that serves the sessions
 * @param freshness the commits that the data of a read must contain
 * @param maximumAgeMillis the maximum age of the data of a read, 0 if it must be current
 * @param statementTimeoutMillis the timeout of one statement
 * @param targetLatencyMillis the latency objective of a whole operation
 * @param priority the priority; 0 is the highest
 * @param openToAll true if no key is needed
 * @param homeRegions the regions whose members and entry VMs may handle the sessions; empty for all
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
