package org.banyanhook.core.rate;

/**
 * How many tokens are lent to a peer.
 *
 * @param lentMicros millionths of a token, already deducted
 * @param lendableMicros what could still be lent, as a hint, not deducted
 * @param reason why not more, for the log line
 */
public record LendingDecision(long lentMicros, long lendableMicros, String reason) {}
