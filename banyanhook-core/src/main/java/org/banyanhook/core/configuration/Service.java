package org.banyanhook.core.configuration;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;

/**
 * A service with its databases and the routes that callers may use.
 *
 * @param name the name of the service
 * @param databases the database groups, in the order to which the partition table refers
 * @param routes the routes that operators declared
 */
public record Service(String name, List<Database> databases, List<Route> routes) {
    public Service {
        databases = ImmutableList.copyOf(databases);
        routes = ImmutableList.copyOf(routes);
    }

    /** Finds a database by name, or returns empty. */
    public Optional<Database> database(String databaseName) {
        return databases.stream()
                .filter(database -> database.name().equals(databaseName))
                .findFirst();
    }

    /** Finds a route by name, or returns empty. */
    public Optional<Route> route(String routeName) {
        return routes.stream().filter(route -> route.name().equals(routeName)).findFirst();
    }
}
