package org.banyanhook.daemon.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Validates settings that conform to the schema, for instance across fields. Not safe for use by several threads. */
final class SettingsValidator {

    private static final String ADDRESS_REMEDY = "write an IP address and port, as in 127.0.0.1:9000";
    private static final int ANY_FREE_PORT = 0;

    private final String file;
    private final JsonNode settings;
    private final YamlLineIndex lines;
    private final List<SettingsError> errors = new ArrayList<>();

    SettingsValidator(String file, JsonNode settings, YamlLineIndex lines) {
        this.file = file;
        this.settings = settings;
        this.lines = lines;
    }

    List<SettingsError> validate() {
        checkAddresses();
        checkDistinctPorts();
        checkOperatorNames();
        checkReadableFiles("/callers/tls");
        checkReadableFiles("/peers/tls");
        return errors;
    }

    private void checkAddresses() {
        checkAddress("/callers/address", true);
        checkAddress("/administration/address", true);
        checkAddress("/peers/address", false);
        checkAddress("/platform/address", false);
        for (int index = 0; index < settings.at("/peers/seeds").size(); index++) {
            checkAddress("/peers/seeds/" + index, false);
        }
    }

    private void checkAddress(String path, boolean freePortAllowed) {
        String address = settings.at(path).asText();
        if (!Addresses.isValid(address)) {
            addError(path, "not an IP address and port", ADDRESS_REMEDY);
            return;
        }
        if (!freePortAllowed && Addresses.parse(address).getPort() == ANY_FREE_PORT) {
            addError(
                    path,
                    "port 0 is not allowed, because other processes connect to this port",
                    "write a port from 1 to 65535");
        }
    }

    private void checkDistinctPorts() {
        Set<String> usedAddresses = new HashSet<>();
        for (String path : List.of("/callers/address", "/peers/address", "/administration/address")) {
            String address = settings.at(path).asText();
            boolean fixedPort =
                    Addresses.isValid(address) && Addresses.parse(address).getPort() != ANY_FREE_PORT;
            if (fixedPort && !usedAddresses.add(address)) {
                addError(path, "another setting listens on the same address", "write another port");
            }
        }
    }

    private void checkOperatorNames() {
        Set<String> usedNames = new HashSet<>();
        JsonNode keys = settings.at("/administration/operatorKeys");
        for (int index = 0; index < keys.size(); index++) {
            String path = "/administration/operatorKeys/" + index + "/name";
            if (!usedNames.add(settings.at(path).asText())) {
                addError(path, "another operator key has the same name", "write a unique name");
            }
        }
    }

    private void checkReadableFiles(String path) {
        for (JsonNode name : settings.at(path)) {
            if (!Files.isReadable(Path.of(name.asText()))) {
                addError(path, "cannot read the file " + name.asText(), "write the path of a readable PEM file");
            }
        }
    }

    private void addError(String path, String problem, String remedy) {
        String value = SettingsSchema.displayedValue(settings, path);
        errors.add(new SettingsError(file, lines.lineOf(path), path, value, problem, remedy));
    }
}
