package org.banyanhook.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.util.OptionalLong;
import java.util.Set;
import java.util.UUID;

/** Sends lines of the command language and writes their answers. Not safe for use by several threads. */
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

    /** Runs one line. A change is based on the version that was in force before it was first sent. */
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
