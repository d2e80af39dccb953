package org.banyanhook.core.configuration;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * One version of the configuration for sessions. Immutable.
 *
 * @param version the version, which increases with every accepted change; 0 if no configuration was read yet
 * @param accounts the client accounts with their keys and limits
 * @param accountRegions the home regions of each account that has any
 * @param routes the routes by database name
 * @param groups the limits of the database groups by name
 * @param idleTransactionTimeoutMillis how long a transaction may be idle before it is rolled back
 */
public record SessionConfiguration(
        long version,
        List<ClientAccount> accounts,
        Map<String, Set<String>> accountRegions,
        Map<String, DatabaseRoute> routes,
        Map<String, GroupLimits> groups,
        long idleTransactionTimeoutMillis) {

    /** The configuration of a daemon that has not read one yet. */
    public static final SessionConfiguration EMPTY =
            new SessionConfiguration(0, List.of(), Map.of(), Map.of(), Map.of(), 1);

    public SessionConfiguration {
        accounts = List.copyOf(accounts);
        accountRegions = ImmutableMap.copyOf(accountRegions);
        routes = ImmutableMap.copyOf(routes);
        groups = ImmutableMap.copyOf(groups);
    }

    /** Finds the route of a database name, or returns empty. */
    public Optional<DatabaseRoute> route(String databaseName) {
        return Optional.ofNullable(routes.get(databaseName));
    }

    /** Returns the home regions of an account; empty means all. */
    public Set<String> regionsOf(String account) {
        return accountRegions.getOrDefault(account, ImmutableSet.of());
    }
}
