package org.banyanhook.daemon.forwarding;

import java.time.Duration;
import org.banyanhook.core.configuration.Route;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.daemon.execution.StatementCommand;
import org.banyanhook.daemon.execution.StatementOutcome;
import org.banyanhook.protocol.generated.ForwardedStatement;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.banyanhook.protocol.generated.Position;
import org.banyanhook.protocol.generated.StatementResult;

/** Encodes and decodes statements and their outcomes as peer messages. */
final class ForwardedStatementCodec {

    /** Divisor of the remaining time; the quotient is reserved for sending the answer back. */
    private static final int RETURN_TIME_DIVISOR = 20;

    private ForwardedStatementCodec() {}

    static PeerEnvelope encodeStatement(StatementCommand command, Duration remaining, long configurationVersion) {
        ForwardedStatement.Builder statement = ForwardedStatement.newBuilder()
                .setRequestId(command.requestId())
                .setClientAccount(command.account())
                .setService(command.service())
                .setDatabase(command.database())
                .setRoute(command.route().name())
                .setStatement(command.statement())
                .setSessionPosition(position(command.sessionPosition()))
                .setRemainingMillis(homeTimeoutMillis(remaining))
                .setConfigurationVersion(configurationVersion);
        command.idempotencyKey().ifPresent(statement::setIdempotencyKey);
        return PeerEnvelope.newBuilder().setForwardedStatement(statement).build();
    }

    static long homeTimeoutMillis(Duration remaining) {
        long millis = remaining.toMillis();
        return Math.max(1, millis - millis / RETURN_TIME_DIVISOR);
    }

    static StatementCommand decodeStatement(ForwardedStatement message, Route route, long nowNanos) {
        return StatementCommand.builder()
                .requestId(message.getRequestId())
                .account(message.getClientAccount())
                .service(message.getService())
                .database(message.getDatabase())
                .route(route)
                .statement(message.getStatement())
                .idempotencyKey(message.getIdempotencyKey().isEmpty() ? null : message.getIdempotencyKey())
                .sessionPosition(position(message.getSessionPosition()))
                .deadlineNanos(nowNanos
                        + Duration.ofMillis(message.getRemainingMillis()).toNanos())
                .build();
    }

    static PeerEnvelope encodeOutcome(StatementOutcome outcome) {
        return PeerEnvelope.newBuilder()
                .setStatementResult(StatementResult.newBuilder()
                        .setResultJson(outcome.resultJson())
                        .setPosition(position(outcome.position()))
                        .setServedBy(outcome.servedBy())
                        .setServedByReplica(outcome.replica())
                        .setReplayed(outcome.replayed())
                        .setAgeMillis(outcome.ageMillis()))
                .build();
    }

    static StatementOutcome decodeOutcome(StatementResult result) {
        return new StatementOutcome(
                result.getResultJson(),
                position(result.getPosition()),
                result.getServedBy(),
                result.getServedByReplica(),
                result.getReplayed(),
                result.getAgeMillis());
    }

    static Position position(LogPosition position) {
        return Position.newBuilder()
                .setTerm(position.term())
                .setPosition(position.position())
                .build();
    }

    static LogPosition position(Position position) {
        return new LogPosition(position.getTerm(), position.getPosition());
    }
}
