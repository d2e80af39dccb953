package org.banyanhook.daemon.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.util.Collection;
import java.util.Locale;
import java.util.function.Function;
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

/** Writes a configuration as a JSON tree. */
final class ConfigurationTreeWriter {

    private ConfigurationTreeWriter() {}

    static ObjectNode write(FleetConfiguration configuration) {
        ObjectNode tree = newObject().put("version", configuration.version());
        tree.set("failureDomains", list(configuration.failureDomains(), ConfigurationTreeWriter::failureDomain));
        tree.set("accounts", list(configuration.accounts(), ConfigurationTreeWriter::account));
        tree.set("services", list(configuration.services(), ConfigurationTreeWriter::service));
        tree.set("withdrawnKeyHashes", list(configuration.withdrawnKeyHashes(), TextNode::valueOf));
        tree.set("sessionSecrets", list(configuration.sessionSecrets(), ConfigurationTreeWriter::sessionSecret));
        tree.set("recentCommands", list(configuration.recentCommands(), ConfigurationTreeWriter::appliedCommand));
        tree.set("drainedEntryVms", list(configuration.drainedEntryVms(), TextNode::valueOf));
        return tree;
    }

    static String labelOf(RouteKind kind) {
        return kind.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static JsonNode failureDomain(FailureDomain domain) {
        return newObject()
                .put("name", domain.name())
                .put("region", domain.region())
                .put("rateShare", domain.rateShare())
                .put("takenOut", domain.takenOut());
    }

    private static JsonNode account(ClientAccount account) {
        ObjectNode tree = newObject().put("name", account.name());
        tree.set("keys", list(account.keys(), ConfigurationTreeWriter::key));
        return tree.put("ratePerSecond", account.ratePerSecond())
                .put("burst", account.burst())
                .put("weight", account.weight());
    }

    private static JsonNode key(GrantedKey key) {
        return newObject().put("id", key.id()).put("hash", key.hash());
    }

    private static JsonNode service(Service service) {
        ObjectNode tree = newObject().put("name", service.name());
        tree.set("databases", list(service.databases(), ConfigurationTreeWriter::database));
        tree.set("routes", list(service.routes(), ConfigurationTreeWriter::route));
        return tree;
    }

    private static JsonNode database(Database database) {
        ObjectNode tree = newObject().put("name", database.name());
        tree.set("members", list(database.members(), ConfigurationTreeWriter::backendServer));
        return tree.put("connectionLimit", database.connectionLimit()).put("slots", database.slots());
    }

    private static JsonNode backendServer(BackendServer server) {
        return newObject()
                .put("name", server.name())
                .put("failureDomain", server.failureDomain())
                .put("address", server.address())
                .put("leaving", server.leaving());
    }

    private static JsonNode route(Route route) {
        return newObject()
                .put("name", route.name())
                .put("kind", labelOf(route.kind()))
                .put("openToAll", route.openToAll())
                .put("maximumAgeMillis", route.maximumAgeMillis());
    }

    private static JsonNode sessionSecret(SessionSecret secret) {
        return newObject().put("id", secret.id()).put("secret", secret.secret());
    }

    private static JsonNode appliedCommand(AppliedCommand command) {
        ObjectNode tree = newObject()
                .put("id", command.id())
                .put("version", command.version())
                .put("text", command.text());
        tree.set("subjects", list(command.subjects(), TextNode::valueOf));
        return tree;
    }

    private static <T> ArrayNode list(Collection<T> elements, Function<T, JsonNode> writer) {
        ArrayNode array = JsonNodeFactory.instance.arrayNode();
        elements.forEach(element -> array.add(writer.apply(element)));
        return array;
    }

    private static ObjectNode newObject() {
        return JsonNodeFactory.instance.objectNode();
    }
}
