package org.banyanhook.daemon.administration;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.banyanhook.core.configuration.BackendServer;
import org.banyanhook.core.configuration.ClientAccount;
import org.banyanhook.core.configuration.Database;
import org.banyanhook.core.configuration.FailureDomain;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.configuration.GrantedKey;
import org.banyanhook.core.configuration.Route;
import org.banyanhook.core.configuration.Service;
import org.banyanhook.daemon.configuration.PropagationReport;

/** Converts parts of the configuration to rows. Key hashes and secrets are omitted. */
final class ConfigurationRows {

    private ConfigurationRows() {}

    static List<ObjectNode> accounts(FleetConfiguration configuration) {
        return configuration.accounts().stream()
                .map(account -> accountRow(configuration, account))
                .toList();
    }

    static List<ObjectNode> services(FleetConfiguration configuration) {
        return configuration.services().stream()
                .map(service -> JsonRows.newRow()
                        .put("service", service.name())
                        .put("databases", service.databases().size())
                        .put("routes", service.routes().size()))
                .toList();
    }

    static List<ObjectNode> routes(FleetConfiguration configuration) {
        ImmutableList.Builder<ObjectNode> rows = ImmutableList.builder();
        for (Service service : configuration.services()) {
            service.routes().forEach(route -> rows.add(routeRow(service, route)));
        }
        return rows.build();
    }

    static List<ObjectNode> databases(FleetConfiguration configuration, DatabaseStatus status) {
        ImmutableList.Builder<ObjectNode> rows = ImmutableList.builder();
        for (Service service : configuration.services()) {
            for (Database database : service.databases()) {
                Optional<DatabaseStatus.Primary> primary = status.primaryOf(database.name());
                database.members().forEach(member -> rows.add(memberRow(service, database, member, primary)));
            }
        }
        return rows.build();
    }

    static List<ObjectNode> failureDomains(FleetConfiguration configuration, PropagationReport report) {
        return configuration.failureDomains().stream()
                .map(domain -> failureDomainRow(domain, report))
                .toList();
    }

    static List<ObjectNode> withdrawals(FleetConfiguration configuration, PropagationReport report) {
        ImmutableList.Builder<ObjectNode> rows = ImmutableList.builder();
        for (ClientAccount account : configuration.accounts()) {
            for (GrantedKey key : account.keys()) {
                if (configuration.withdrawnKeyHashes().contains(key.hash())) {
                    rows.add(addPropagation(
                            JsonRows.newRow().put("account", account.name()).put("key", key.id()), report));
                }
            }
        }
        return rows.build();
    }

    static ObjectNode configurationRow(FleetConfiguration configuration, PropagationReport report) {
        return addPropagation(JsonRows.newRow().put("version", report.version()), report)
                .put("accounts", configuration.accounts().size())
                .put("services", configuration.services().size())
                .put("withdrawnKeys", configuration.withdrawnKeyHashes().size());
    }

    static ObjectNode addPropagation(ObjectNode row, PropagationReport report) {
        row.put("inForceEverywhere", report.isConfirmedEverywhere());
        row.set("notYetInForceOn", JsonRows.textArray(report.unconfirmedEntryVms()));
        row.set("failureDomainsNotConfirmed", JsonRows.textArray(report.unconfirmedFailureDomains()));
        return row;
    }

    private static ObjectNode accountRow(FleetConfiguration configuration, ClientAccount account) {
        List<String> granted = account.keys().stream()
                .filter(key -> !configuration.withdrawnKeyHashes().contains(key.hash()))
                .map(GrantedKey::id)
                .toList();
        List<String> withdrawn = account.keys().stream()
                .filter(key -> configuration.withdrawnKeyHashes().contains(key.hash()))
                .map(GrantedKey::id)
                .toList();
        ObjectNode row = JsonRows.newRow()
                .put("account", account.name())
                .put("rate", account.ratePerSecond())
                .put("burst", account.burst())
                .put("weight", account.weight());
        row.set("keys", JsonRows.textArray(granted));
        row.set("withdrawnKeys", JsonRows.textArray(withdrawn));
        return row;
    }

    private static ObjectNode routeRow(Service service, Route route) {
        return JsonRows.newRow()
                .put("service", service.name())
                .put("route", route.name())
                .put("kind", route.kind().name().toLowerCase(Locale.ROOT).replace('_', '-'))
                .put("openToAll", route.openToAll())
                .put("maximumAgeMillis", route.maximumAgeMillis());
    }

    private static ObjectNode memberRow(
            Service service, Database database, BackendServer member, Optional<DatabaseStatus.Primary> primary) {
        boolean isPrimary = primary.filter(
                        knownPrimary -> knownPrimary.backendServer().equals(member.name()))
                .isPresent();
        return JsonRows.newRow()
                .put("service", service.name())
                .put("database", database.name())
                .put("backendServer", member.name())
                .put("failureDomain", member.failureDomain())
                .put("address", member.address())
                .put("believedPrimary", isPrimary)
                .put("term", primary.map(DatabaseStatus.Primary::term).orElse(0L))
                .put("leaving", member.leaving());
    }

    private static ObjectNode failureDomainRow(FailureDomain domain, PropagationReport report) {
        return JsonRows.newRow()
                .put("failureDomain", domain.name())
                .put("region", domain.region())
                .put("rateShare", domain.rateShare())
                .put("takenOut", domain.takenOut())
                .put("confirmed", !report.unconfirmedFailureDomains().contains(domain.name()));
    }
}
