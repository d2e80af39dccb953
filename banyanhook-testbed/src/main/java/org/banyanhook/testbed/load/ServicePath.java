package org.banyanhook.testbed.load;

import java.util.concurrent.CompletableFuture;
import org.banyanhook.testbed.http.JsonAnswer;
import org.jspecify.annotations.Nullable;

/** How requests reach the databases. Safe for use by several threads. */
@FunctionalInterface
interface ServicePath {
    /**
     * Sends one statement.
     *
     * @param request the statement
     * @return the answer, of status 0 if none came; never failed
     */
    CompletableFuture<JsonAnswer> send(Request request);

    /** A statement to send. */
    record Request(
            int account,
            String database,
            boolean write,
            String statement,
            @Nullable String session,
            @Nullable String idempotencyKey) {}
}
