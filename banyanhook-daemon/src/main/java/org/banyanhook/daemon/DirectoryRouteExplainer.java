package org.banyanhook.daemon;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.banyanhook.core.command.Explain;
import org.banyanhook.core.configuration.Database;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.configuration.Route;
import org.banyanhook.core.configuration.Service;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.core.routing.PartitionTable;
import org.banyanhook.daemon.administration.JsonRows;
import org.banyanhook.daemon.administration.RouteExplainer;
import org.banyanhook.daemon.configuration.ConfigurationSource;
import org.banyanhook.daemon.forwarding.HomeDirectory;
import org.banyanhook.daemon.membership.EntryVm;
import org.banyanhook.daemon.primary.PrimaryDirectory;

/** Explains how a request would be routed, from the same directories that requests use. Thread-safe. */
final class DirectoryRouteExplainer implements RouteExplainer {

    private final ConfigurationSource configuration;
    private final HomeDirectory homes;
    private final PrimaryDirectory primaries;

    DirectoryRouteExplainer(ConfigurationSource configuration, HomeDirectory homes, PrimaryDirectory primaries) {
        this.configuration = requireNonNull(configuration, "configuration");
        this.homes = requireNonNull(homes, "homes");
        this.primaries = requireNonNull(primaries, "primaries");
    }

    @Override
    public List<ObjectNode> explain(Explain query) throws RefusalException {
        FleetConfiguration current = configuration.current();
        Service service = current.service(query.service())
                .orElseThrow(() -> RefusalException.notRun(
                        RefusalKind.SERVICE_UNKNOWN, "The configuration has no service " + query.service() + "."));
        Route route = service.route(query.route())
                .orElseThrow(() -> RefusalException.notRun(
                        RefusalKind.ROUTE_UNKNOWN,
                        "Service " + service.name() + " has no route " + query.route() + "."));
        ImmutableList.Builder<ObjectNode> rows = ImmutableList.builder();
        rows.add(newRow("route", route.name(), describeRoute(route)));
        if (query.account().isPresent()) {
            rows.add(accountRow(current, query.account().get()));
        }
        Database database = resolveDatabase(service, query);
        rows.add(newRow("database", database.name(), databaseSelectionReason(query)));
        rows.add(homeRow(database));
        rows.add(memberRow(database, route));
        return rows.build();
    }

    private static ObjectNode accountRow(FleetConfiguration current, String name) throws RefusalException {
        return current.account(name)
                .map(account -> newRow(
                        "rate",
                        account.name(),
                        account.ratePerSecond() + " requests per second with a burst of " + account.burst()
                                + " across all entry VMs, weight " + account.weight()))
                .orElseThrow(() -> RefusalException.notRun(
                        RefusalKind.CONFIGURATION_INVALID, "The configuration has no client account " + name + "."));
    }

    private static Database resolveDatabase(Service service, Explain query) throws RefusalException {
        Optional<Database> named = query.database().flatMap(service::database);
        if (query.database().isPresent() && named.isEmpty()) {
            throw RefusalException.notRun(
                    RefusalKind.DATABASE_UNKNOWN,
                    "Service " + service.name() + " has no database "
                            + query.database().get() + ".");
        }
        if (named.isPresent()) {
            return named.get();
        }
        String partitionKey = query.partitionKey()
                .orElseThrow(() -> RefusalException.notRun(
                        RefusalKind.DATABASE_UNKNOWN, "Neither database= nor partition-key= was given."));
        return PartitionTable.databaseFor(service, partitionKey);
    }

    private static String databaseSelectionReason(Explain query) {
        return query.database().isPresent()
                ? "named by the request"
                : "mapped from the partition key by the partition table";
    }

    private ObjectNode homeRow(Database database) {
        List<EntryVm> homeEntryVms = homes.homes(database.name());
        String names = homeEntryVms.stream().map(EntryVm::name).collect(Collectors.joining(", "));
        return newRow("home entry VM", names, "rendezvous hashing over the live entry VMs, nearest first");
    }

    private ObjectNode memberRow(Database database, Route route) {
        Optional<String> replica = !route.kind().writes() && route.maximumAgeMillis() > 0
                ? primaries.selectReplica(database.name(), LogPosition.START, route.maximumAgeMillis())
                : Optional.empty();
        if (replica.isPresent()) {
            return newRow(
                    "backend server", replica.get(), "replica within the maximum age of the route, for a new session");
        }
        return primaries
                .primary(database.name())
                .map(primary -> newRow("backend server", primary.primaryMember(), "primary of term " + primary.term()))
                .orElseGet(() -> newRow("backend server", "none", "no primary is known; the request waits for one"));
    }

    private static String describeRoute(Route route) {
        String access = route.openToAll() ? "open to all" : "requires a key";
        return route.kind() + ", " + access + ", data at most " + route.maximumAgeMillis() + " ms old";
    }

    private static ObjectNode newRow(String step, String choice, String reason) {
        ObjectNode row = JsonRows.newRow();
        row.put("step", step);
        row.put("choice", choice);
        row.put("reason", reason);
        return row;
    }
}
