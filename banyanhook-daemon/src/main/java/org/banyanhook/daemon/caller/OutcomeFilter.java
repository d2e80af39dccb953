package org.banyanhook.daemon.caller;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.session.SessionToken;
import org.banyanhook.daemon.execution.OutcomeReader;
import org.banyanhook.daemon.execution.StatementOutcome;

/** Replies to queries for the outcome that is recorded under an idempotency key; passes other requests on. */
final class OutcomeFilter implements RequestFilter {

    private final OutcomeReader reader;
    private final SessionFilter sessions;

    OutcomeFilter(OutcomeReader reader, SessionFilter sessions) {
        this.reader = requireNonNull(reader, "reader");
        this.sessions = requireNonNull(sessions, "sessions");
    }

    @Override
    public CompletableFuture<CallerReply> handle(CallerExchange exchange, FilterChain next) throws RefusalException {
        if (exchange.operation() != CallerOperation.OUTCOME) {
            return next.proceed(exchange);
        }
        String database = exchange.database().name();
        OutcomeReader.Query query = new OutcomeReader.Query(
                database,
                exchange.effectiveAccount(),
                exchange.target().identifier(),
                exchange.session().position(database),
                exchange.deadlineNanos());
        return reader.read(query).thenApply(outcome -> reply(exchange, database, outcome));
    }

    private CallerReply reply(CallerExchange exchange, String database, Optional<StatementOutcome> outcome) {
        ObjectNode body = JsonNodeFactory.instance
                .objectNode()
                .put("found", outcome.isPresent())
                .put("database", database);
        outcome.ifPresent(found -> {
            body.putRawValue("result", new RawValue(found.resultJson()));
            body.put("term", found.position().term())
                    .put("position", found.position().position());
        });
        SessionToken session = outcome.map(found -> exchange.session().with(database, found.position()))
                .orElse(exchange.session());
        try {
            return CallerReplyFactory.ok(body, sessions.encode(exchange, session));
        } catch (RefusalException refusal) {
            throw new CompletionException(refusal);
        }
    }
}
