package org.banyanhook.daemon.forwarding;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.configuration.Route;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.transaction.TransactionId;
import org.banyanhook.core.transaction.TransactionStep;
import org.banyanhook.daemon.execution.TransactionCommand;
import org.banyanhook.daemon.execution.TransactionOutcome;
import org.banyanhook.protocol.generated.ForwardedTransactionStep;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.banyanhook.protocol.generated.StatementResult;

/**
 * Encodes and decodes transaction steps and their outcomes as peer messages.
 *
 * <p>The message for a begin carries the name of the route in the field {@code statement}.
 */
final class ForwardedTransactionCodec {

    private ForwardedTransactionCodec() {}

    static PeerEnvelope encodeStep(TransactionCommand command, Duration remaining) {
        boolean isBegin = command.step() == TransactionStep.BEGIN;
        ForwardedTransactionStep.Builder step = ForwardedTransactionStep.newBuilder()
                .setRequestId(command.requestId())
                .setClientAccount(command.account())
                .setService(command.service())
                .setDatabase(command.database())
                .setStep(ForwardedTransactionStep.Step.valueOf(command.step().name()))
                .setStatement(isBegin ? command.beginRoute().name() : command.statement())
                .setSessionPosition(ForwardedStatementCodec.position(command.sessionPosition()))
                .setRemainingMillis(ForwardedStatementCodec.homeTimeoutMillis(remaining));
        if (!isBegin) {
            step.setTransactionId(command.transaction().encode());
        }
        command.idempotencyKey().ifPresent(step::setIdempotencyKey);
        return PeerEnvelope.newBuilder().setForwardedTransactionStep(step).build();
    }

    static TransactionCommand decodeBegin(ForwardedTransactionStep message, Route route, long nowNanos) {
        return newCommandBuilder(message, TransactionStep.BEGIN, nowNanos)
                .route(route)
                .build();
    }

    static TransactionCommand decodeLaterStep(ForwardedTransactionStep message, long nowNanos) throws RefusalException {
        TransactionStep step = TransactionStep.valueOf(message.getStep().name());
        return newCommandBuilder(message, step, nowNanos)
                .transaction(TransactionId.decode(message.getTransactionId()))
                .statement(message.getStatement())
                .build();
    }

    static PeerEnvelope encodeOutcome(TransactionOutcome outcome) {
        PeerEnvelope envelope = ForwardedStatementCodec.encodeOutcome(outcome.outcome());
        StatementResult result = envelope.getStatementResult().toBuilder()
                .setTransactionId(outcome.transaction().encode())
                .build();
        return envelope.toBuilder().setStatementResult(result).build();
    }

    static CompletableFuture<TransactionOutcome> decodeOutcome(StatementResult result, TransactionCommand command) {
        try {
            TransactionId id = TransactionId.decode(result.getTransactionId());
            return CompletableFuture.completedFuture(
                    new TransactionOutcome(id, ForwardedStatementCodec.decodeOutcome(result)));
        } catch (RefusalException exception) {
            return CompletableFuture.failedFuture(new IllegalStateException(
                    "the home's answer to request " + command.requestId() + " has no valid transaction id", exception));
        }
    }

    private static TransactionCommand.Builder newCommandBuilder(
            ForwardedTransactionStep message, TransactionStep step, long nowNanos) {
        return TransactionCommand.builder(step)
                .requestId(message.getRequestId())
                .account(message.getClientAccount())
                .service(message.getService())
                .database(message.getDatabase())
                .idempotencyKey(message.getIdempotencyKey().isEmpty() ? null : message.getIdempotencyKey())
                .sessionPosition(ForwardedStatementCodec.position(message.getSessionPosition()))
                .deadlineNanos(nowNanos
                        + Duration.ofMillis(message.getRemainingMillis()).toNanos());
    }
}
