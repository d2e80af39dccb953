package org.banyanhook.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.util.OptionalLong;
import java.util.Set;
import java.util.UUID;

/** Runs lines of the command language and prints the responses. Not thread-safe. */
final class CommandRunner implements AutoCloseable {

    private static final Set<String> QUERY_VERBS = Set.of("show", "explain");

    private final AdministrationClient client;
    private final ConnectionOptions options;
    private final PrintWriter out;
    private final ResponseFormatter formatter = new ResponseFormatter();

    CommandRunner(ConnectionOptions options, String operatorKey, PrintWriter out) throws ToolException {
        this.options = options;
        this.out = out;
        this.client = new AdministrationClient(options.addresses(), operatorKey);
        client.start();
    }

    /**
     * Runs one line. Unless the options specify a version, a change is based on the version in force before it is first
     * sent.
     */
    void run(String line) throws ToolException {
        JsonNode response = client.run(line, UUID.randomUUID().toString(), basedOnVersion(line));
        out.print(formatter.format(response, options.output()));
        out.flush();
    }

    @Override
    public void close() {
        client.close();
    }

    private OptionalLong basedOnVersion(String line) throws ToolException {
        String verb = line.strip().split("\\s+", 2)[0];
        if (QUERY_VERBS.contains(verb)) {
            return OptionalLong.empty();
        }
        Long given = options.basedOnVersion();
        return OptionalLong.of(given == null ? client.fetchConfigurationVersion() : given);
    }
}
