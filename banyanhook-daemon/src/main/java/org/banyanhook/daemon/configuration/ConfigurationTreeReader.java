package org.banyanhook.daemon.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Enums;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.primitives.Ints;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.banyanhook.core.configuration.AppliedCommand;
import org.banyanhook.core.configuration.BackendServer;
import org.banyanhook.core.configuration.ClientAccount;
import org.banyanhook.core.configuration.Database;
import org.banyanhook.core.configuration.FailureDomain;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.configuration.GrantedKey;
import org.banyanhook.core.configuration.Route;
import org.banyanhook.core.configuration.RouteKind;
import org.banyanhook.core.configuration.Service;
import org.banyanhook.core.configuration.SessionSecret;

/** Reads a configuration from a JSON tree; ignores unknown fields and routes of unknown kinds. */
final class ConfigurationTreeReader {

    private ConfigurationTreeReader() {}

    static FleetConfiguration read(JsonNode tree) throws ConfigurationFormatException {
        JsonField root = JsonField.root(tree);
        try {
            return new FleetConfiguration(
                    root.field("version").positiveLong(),
                    root.field("failureDomains").list(ConfigurationTreeReader::readFailureDomain),
                    root.field("accounts").list(ConfigurationTreeReader::readAccount),
                    root.field("services").list(ConfigurationTreeReader::readService),
                    readTextSet(root.field("withdrawnKeyHashes")),
                    root.field("sessionSecrets").list(ConfigurationTreeReader::readSessionSecret),
                    root.field("recentCommands").list(ConfigurationTreeReader::readAppliedCommand),
                    readTextSet(root.field("drainedEntryVms")));
        } catch (IllegalArgumentException exception) {
            throw new ConfigurationFormatException(
                    "the configuration document is invalid: " + exception.getMessage() + "; correct the value");
        }
    }

    private static FailureDomain readFailureDomain(JsonField tree) throws ConfigurationFormatException {
        return new FailureDomain(
                tree.field("name").nonEmptyText(),
                tree.field("region").nonEmptyText(),
                tree.field("rateShare").number(),
                tree.field("takenOut").booleanValue(false));
    }

    private static ClientAccount readAccount(JsonField tree) throws ConfigurationFormatException {
        return new ClientAccount(
                tree.field("name").nonEmptyText(),
                tree.field("keys").list(ConfigurationTreeReader::readKey),
                tree.field("ratePerSecond").number(),
                tree.field("burst").number(),
                Ints.checkedCast(tree.field("weight").nonNegativeLong(1)));
    }

    private static GrantedKey readKey(JsonField tree) throws ConfigurationFormatException {
        return new GrantedKey(
                tree.field("id").nonEmptyText(), tree.field("hash").nonEmptyText());
    }

    private static Service readService(JsonField tree) throws ConfigurationFormatException {
        return new Service(
                tree.field("name").nonEmptyText(),
                tree.field("databases").list(ConfigurationTreeReader::readDatabase),
                readKnownRoutes(tree.field("routes")));
    }

    private static Database readDatabase(JsonField tree) throws ConfigurationFormatException {
        return new Database(
                tree.field("name").nonEmptyText(),
                tree.field("members").list(ConfigurationTreeReader::readBackendServer),
                Ints.checkedCast(tree.field("connectionLimit").positiveLong()),
                Ints.checkedCast(tree.field("slots").positiveLong()));
    }

    private static BackendServer readBackendServer(JsonField tree) throws ConfigurationFormatException {
        return new BackendServer(
                tree.field("name").nonEmptyText(),
                tree.field("failureDomain").nonEmptyText(),
                tree.field("address").nonEmptyText(),
                tree.field("leaving").booleanValue(false));
    }

    private static List<Route> readKnownRoutes(JsonField tree) throws ConfigurationFormatException {
        ImmutableList.Builder<Route> routes = ImmutableList.builder();
        for (Optional<Route> route : tree.list(ConfigurationTreeReader::readRoute)) {
            route.ifPresent(routes::add);
        }
        return routes.build();
    }

    private static Optional<Route> readRoute(JsonField tree) throws ConfigurationFormatException {
        String kindName =
                tree.field("kind").nonEmptyText().toUpperCase(Locale.ROOT).replace('-', '_');
        RouteKind kind = Enums.getIfPresent(RouteKind.class, kindName).orNull();
        if (kind == null) {
            return Optional.empty();
        }
        return Optional.of(new Route(
                tree.field("name").nonEmptyText(),
                kind,
                tree.field("openToAll").booleanValue(false),
                tree.field("maximumAgeMillis").nonNegativeLong(0)));
    }

    private static SessionSecret readSessionSecret(JsonField tree) throws ConfigurationFormatException {
        return new SessionSecret(
                tree.field("id").nonEmptyText(), tree.field("secret").nonEmptyText());
    }

    private static AppliedCommand readAppliedCommand(JsonField tree) throws ConfigurationFormatException {
        return new AppliedCommand(
                tree.field("id").nonEmptyText(),
                tree.field("version").positiveLong(),
                tree.field("text").nonEmptyText(),
                readTextSet(tree.field("subjects")));
    }

    private static ImmutableSet<String> readTextSet(JsonField tree) throws ConfigurationFormatException {
        return ImmutableSet.copyOf(tree.list(JsonField::nonEmptyText));
    }
}
