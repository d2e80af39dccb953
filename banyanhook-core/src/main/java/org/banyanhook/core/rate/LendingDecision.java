package org.banyanhook.core.rate;

/**
 * The answer to a peer's token request.
 *
 * @param lentMicros the millionths of a token lent, already deducted from the bucket
 * @param lendableMicros the millionths that could still be lent, as a hint; not deducted
 * @param reason the reason why no more is lent, for the log
 */
public record LendingDecision(long lentMicros, long lendableMicros, String reason) {}
