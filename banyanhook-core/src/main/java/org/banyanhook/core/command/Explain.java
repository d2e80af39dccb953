package org.banyanhook.core.command;

import java.util.Optional;

/**
 * Tells how a request would be treated now.
 *
 * @param service the service
 * @param route the route
 * @param database the database, if named
 * @param partitionKey the partition key, if named
 * @param account the client account, if named
 */
public record Explain(
        String service,
        String route,
        Optional<String> database,
        Optional<String> partitionKey,
        Optional<String> account)
        implements Command {
    @Override
    public String text() {
        return "explain " + service + " " + route
                + database.map(value -> " database=" + value).orElse("")
                + partitionKey
                        .map(value -> " partition-key=" + CommandTokenizer.quote(value))
                        .orElse("")
                + account.map(value -> " account=" + value).orElse("");
    }
}
