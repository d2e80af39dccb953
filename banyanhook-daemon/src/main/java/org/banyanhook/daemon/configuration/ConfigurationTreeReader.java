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

/** Reads a configuration from a JSON tree, passing over fields and kinds of route that it does not know. */
final class ConfigurationTreeReader {

    private ConfigurationTreeReader() {}

    static FleetConfiguration read(JsonNode tree) throws ConfigurationFormatException {
        JsonField root = JsonField.root(tree);
        try {
            return new FleetConfiguration(
                    root.field("version").positiveLong(),
                    root.field("failureDomains").list(ConfigurationTreeReader::failureDomain),
                    root.field("accounts").list(ConfigurationTreeReader::account),
                    root.field("services").list(ConfigurationTreeReader::service),
                    texts(root.field("withdrawnKeyHashes")),
                    root.field("sessionSecrets").list(ConfigurationTreeReader::sessionSecret),
                    root.field("recentCommands").list(ConfigurationTreeReader::appliedCommand),
                    texts(root.field("drainedEntryVms")));
        } catch (IllegalArgumentException exception) {
            throw new ConfigurationFormatException(
                    "the configuration document is refused: " + exception.getMessage() + "; correct the value");
        }
    }

    private static FailureDomain failureDomain(JsonField tree) throws ConfigurationFormatException {
        return new FailureDomain(
                tree.field("name").text(),
                tree.field("region").text(),
                tree.field("rateShare").number(),
                tree.field("takenOut").truth(false));
    }

    private static ClientAccount account(JsonField tree) throws ConfigurationFormatException {
        return new ClientAccount(
                tree.field("name").text(),
                tree.field("keys").list(ConfigurationTreeReader::key),
                tree.field("ratePerSecond").number(),
                tree.field("burst").number(),
                Ints.checkedCast(tree.field("weight").wholeNumber(1)));
    }

    private static GrantedKey key(JsonField tree) throws ConfigurationFormatException {
        return new GrantedKey(tree.field("id").text(), tree.field("hash").text());
    }

    private static Service service(JsonField tree) throws ConfigurationFormatException {
        return new Service(
                tree.field("name").text(),
                tree.field("databases").list(ConfigurationTreeReader::database),
                routes(tree.field("routes")));
    }

    private static Database database(JsonField tree) throws ConfigurationFormatException {
        return new Database(
                tree.field("name").text(),
                tree.field("members").list(ConfigurationTreeReader::backendServer),
                Ints.checkedCast(tree.field("connectionLimit").positiveLong()),
                Ints.checkedCast(tree.field("slots").positiveLong()));
    }

    private static BackendServer backendServer(JsonField tree) throws ConfigurationFormatException {
        return new BackendServer(
                tree.field("name").text(),
                tree.field("failureDomain").text(),
                tree.field("address").text(),
                tree.field("leaving").truth(false));
    }

    private static List<Route> routes(JsonField tree) throws ConfigurationFormatException {
        ImmutableList.Builder<Route> known = ImmutableList.builder();
        for (Optional<Route> route : tree.list(ConfigurationTreeReader::route)) {
            route.ifPresent(known::add);
        }
        return known.build();
    }

    private static Optional<Route> route(JsonField tree) throws ConfigurationFormatException {
        String label = tree.field("kind").text().toUpperCase(Locale.ROOT).replace('-', '_');
        RouteKind kind = Enums.getIfPresent(RouteKind.class, label).orNull();
        if (kind == null) {
            return Optional.empty();
        }
        return Optional.of(new Route(
                tree.field("name").text(),
                kind,
                tree.field("openToAll").truth(false),
                tree.field("maximumAgeMillis").wholeNumber(0)));
    }

    private static SessionSecret sessionSecret(JsonField tree) throws ConfigurationFormatException {
        return new SessionSecret(tree.field("id").text(), tree.field("secret").text());
    }

    private static AppliedCommand appliedCommand(JsonField tree) throws ConfigurationFormatException {
        return new AppliedCommand(
                tree.field("id").text(),
                tree.field("version").positiveLong(),
                tree.field("text").text(),
                texts(tree.field("subjects")));
    }

    private static ImmutableSet<String> texts(JsonField tree) throws ConfigurationFormatException {
        return ImmutableSet.copyOf(tree.list(JsonField::text));
    }
}
