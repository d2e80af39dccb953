package org.banyanhook.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Option;
import picocli.CommandLine.ScopeType;

/** The options common to all commands. */
final class ConnectionOptions {

    static final String OPERATOR_KEY_VARIABLE = "BANYANHOOK_OPERATOR_KEY";

    @Option(
            names = "--address",
            scope = ScopeType.INHERIT,
            split = ",",
            paramLabel = "IP:PORT",
            defaultValue = "${env:BANYANHOOK_ADDRESS:-127.0.0.1:9300}",
            description = {
                "The administration ports to try in turn, separated by commas.",
                "Default: the variable BANYANHOOK_ADDRESS, or 127.0.0.1:9300."
            })
    private List<String> addresses = List.of();

    @Option(
            names = "--key-file",
            scope = ScopeType.INHERIT,
            paramLabel = "FILE",
            description = "The file with the operator key. Default: the variable " + OPERATOR_KEY_VARIABLE + ".")
    private @Nullable Path keyFile;

    @Option(
            names = "--output",
            scope = ScopeType.INHERIT,
            paramLabel = "FORMAT",
            defaultValue = "table",
            description = "The output format: ${COMPLETION-CANDIDATES}. Default: ${DEFAULT-VALUE}.")
    private OutputFormat output = OutputFormat.TABLE;

    @Option(
            names = "--based-on-version",
            scope = ScopeType.INHERIT,
            paramLabel = "N",
            description = {
                "The configuration version that the change is based on; later changes that do not commute are conflicts.",
                "Default: the version in force when the tool starts."
            })
    private @Nullable Long basedOnVersion;

    List<String> addresses() {
        return addresses;
    }

    OutputFormat output() {
        return output;
    }

    @Nullable
    Long basedOnVersion() {
        return basedOnVersion;
    }

    /** Reads the operator key from the file or the environment. */
    String readOperatorKey(@Nullable String environmentValue) throws ToolException {
        Path file = keyFile;
        if (file == null) {
            if (environmentValue == null || environmentValue.isBlank()) {
                throw new ToolException(
                        ExitCodes.USAGE,
                        "no operator key is given; set " + OPERATOR_KEY_VARIABLE + " or specify --key-file");
            }
            return environmentValue.trim();
        }
        try {
            return Files.readString(file).trim();
        } catch (IOException exception) {
            throw new ToolException(ExitCodes.USAGE, "cannot read the key file " + file + "; specify a readable file");
        }
    }
}
