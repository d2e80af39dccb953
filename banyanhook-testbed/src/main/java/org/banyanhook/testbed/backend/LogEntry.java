package org.banyanhook.testbed.backend;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * One entry of a member's log. Immutable.
 *
 * @param term the term in which a primary wrote it
 * @param position its number, counted from 1
 * @param writtenAtMillis when the primary wrote it, by the wall clock
 * @param account the client account of its idempotency key, or null if it has none
 * @param idempotencyKey the idempotency key, or null if it has none
 * @param statements the statements, empty for the first entry of a term
 * @param changes the new value of each changed key
 * @param result the recorded result
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record LogEntry(
        long term,
        long position,
        long writtenAtMillis,
        @Nullable String account,
        @Nullable String idempotencyKey,
        List<String> statements,
        Map<String, String> changes,
        String result) {

    LogEntry {
        statements = List.copyOf(statements);
        changes = Map.copyOf(changes);
    }
}
