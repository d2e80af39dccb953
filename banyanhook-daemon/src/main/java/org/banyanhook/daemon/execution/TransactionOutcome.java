package org.banyanhook.daemon.execution;

import org.banyanhook.core.transaction.TransactionId;

/**
 * The outcome of a transaction step.
 *
 * @param transaction the transaction
 * @param outcome the outcome of the step, with the JSON result {@code null} for a begin or rollback
 */
public record TransactionOutcome(TransactionId transaction, StatementOutcome outcome) {}
