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
        tree.set(
                "failureDomains",
                writeList(configuration.failureDomains(), ConfigurationTreeWriter::writeFailureDomain));
        tree.set("accounts", writeList(configuration.accounts(), ConfigurationTreeWriter::writeAccount));
        tree.set("services", writeList(configuration.services(), ConfigurationTreeWriter::writeService));
        tree.set("withdrawnKeyHashes", writeList(configuration.withdrawnKeyHashes(), TextNode::valueOf));
        tree.set(
                "sessionSecrets",
                writeList(configuration.sessionSecrets(), ConfigurationTreeWriter::writeSessionSecret));
        tree.set(
                "recentCommands",
                writeList(configuration.recentCommands(), ConfigurationTreeWriter::writeAppliedCommand));
        tree.set("drainedEntryVms", writeList(configuration.drainedEntryVms(), TextNode::valueOf));
        return tree;
    }

    static String toKindName(RouteKind kind) {
        return kind.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static JsonNode writeFailureDomain(FailureDomain domain) {
        return newObject()
                .put("name", domain.name())
                .put("region", domain.region())
                .put("rateShare", domain.rateShare())
                .put("takenOut", domain.takenOut());
    }

    private static JsonNode writeAccount(ClientAccount account) {
        ObjectNode tree = newObject().put("name", account.name());
        tree.set("keys", writeList(account.keys(), ConfigurationTreeWriter::writeKey));
        return tree.put("ratePerSecond", account.ratePerSecond())
                .put("burst", account.burst())
                .put("weight", account.weight());
    }

    private static JsonNode writeKey(GrantedKey key) {
        return newObject().put("id", key.id()).put("hash", key.hash());
    }

    private static JsonNode writeService(Service service) {
        ObjectNode tree = newObject().put("name", service.name());
        tree.set("databases", writeList(service.databases(), ConfigurationTreeWriter::writeDatabase));
        tree.set("routes", writeList(service.routes(), ConfigurationTreeWriter::writeRoute));
        return tree;
    }

    private static JsonNode writeDatabase(Database database) {
        ObjectNode tree = newObject().put("name", database.name());
        tree.set("members", writeList(database.members(), ConfigurationTreeWriter::writeBackendServer));
        return tree.put("connectionLimit", database.connectionLimit()).put("slots", database.slots());
    }

    private static JsonNode writeBackendServer(BackendServer server) {
        return newObject()
                .put("name", server.name())
                .put("failureDomain", server.failureDomain())
                .put("address", server.address())
                .put("leaving", server.leaving());
    }

    private static JsonNode writeRoute(Route route) {
        return newObject()
                .put("name", route.name())
                .put("kind", toKindName(route.kind()))
                .put("openToAll", route.openToAll())
                .put("maximumAgeMillis", route.maximumAgeMillis());
    }

    private static JsonNode writeSessionSecret(SessionSecret secret) {
        return newObject().put("id", secret.id()).put("secret", secret.secret());
    }

    private static JsonNode writeAppliedCommand(AppliedCommand command) {
        ObjectNode tree = newObject()
                .put("id", command.id())
                .put("version", command.version())
                .put("text", command.text());
        tree.set("subjects", writeList(command.subjects(), TextNode::valueOf));
        return tree;
    }

    private static <T> ArrayNode writeList(Collection<T> elements, Function<T, JsonNode> writer) {
        ArrayNode array = JsonNodeFactory.instance.arrayNode();
        elements.forEach(element -> array.add(writer.apply(element)));
        return array;
    }

    private static ObjectNode newObject() {
        return JsonNodeFactory.instance.objectNode();
    }
}
