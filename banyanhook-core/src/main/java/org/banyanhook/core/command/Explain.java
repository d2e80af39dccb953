package org.banyanhook.core.command;

import java.util.Optional;

/**
 * Explains how a request would be handled now.
 *
 * @param service the service
 * @param route the route
 * @param database the database, if given
 * @param partitionKey the partition key, if given
 * @param account the client account, if given
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
