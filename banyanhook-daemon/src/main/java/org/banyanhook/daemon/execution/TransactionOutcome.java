package org.banyanhook.daemon.execution;

import org.banyanhook.core.transaction.TransactionId;

/**
 * What a step of a transaction returned.
 *
 * @param transaction the transaction
 * @param outcome what the step returned, with the result {@code null} for a begin or rollback
 */
public record TransactionOutcome(TransactionId transaction, StatementOutcome outcome) {}
