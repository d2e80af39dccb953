package org.banyanhook.testbed.backend;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** The JSON bodies of a backend server's calls, as the interfaces page lists them. */
final class Messages {

    private Messages() {}

    record Status(
            String member,
            String database,
            long term,
            String role,
            long lastTerm,
            long position,
            String primaryMember,
            int activeConnections) {}

    record IdempotencyFields(String account, String key) {}

    record Work(
            @Nullable String answerId,
            @Nullable Long term,
            @Nullable String statement,
            boolean write,
            @Nullable IdempotencyFields idempotency) {}

    record TermChange(
            long term,
            @Nullable String primaryMember,
            @Nullable String primaryAddress) {}

    @JsonInclude(JsonInclude.Include.NON_NULL)
    record Answer(
            @Nullable String answerId,
            long term,
            long position,
            long lastTerm,
            @Nullable String result,
            boolean replayed) {}

    @JsonInclude(JsonInclude.Include.NON_NULL)
    record RecordedOutcome(
            boolean found,
            long position,
            long lastTerm,
            @Nullable String result) {}

    record Entries(long term, boolean matches, long dropAfter, List<LogEntry> entries) {}

    @JsonInclude(JsonInclude.Include.NON_NULL)
    record Refusal(
            @Nullable String answerId,
            String error,
            long term,
            @Nullable String detail,
            @Nullable Status status) {
        Refusal withAnswerId(@Nullable String value) {
            return new Refusal(value, error, term, detail, status);
        }
    }
}
