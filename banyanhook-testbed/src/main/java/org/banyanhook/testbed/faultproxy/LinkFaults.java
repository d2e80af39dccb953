package org.banyanhook.testbed.faultproxy;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * The faults of one link. Safe for use by several threads.
 *
 * <p>A connection that lost a byte to a one-way cut stays silent in that direction for good, as no stream can go on
 * with a gap.
 */
public final class LinkFaults {

    private final AtomicInteger answersToTruncate = new AtomicInteger();
    private final AtomicInteger answersToDelay = new AtomicInteger();
    private final AtomicInteger answersToCross = new AtomicInteger();
    private volatile long delayMicros;
    private volatile long jitterMicros;
    private volatile boolean cut;
    private volatile boolean requestsDropped;
    private volatile boolean answersDropped;
    private volatile boolean frozen;
    private volatile int truncatedLength;
    private volatile long lateMillis;

    /** Sets the latency of each direction, and the most that is added to it at random. */
    public void delay(long micros, long addedJitterMicros) {
        checkArgument(micros >= 0, "delay must not be negative, was %s", micros);
        checkArgument(addedJitterMicros >= 0, "jitter must not be negative, was %s", addedJitterMicros);
        delayMicros = micros;
        jitterMicros = addedJitterMicros;
    }

    /** Sets whether new connections are refused. The proxy closes the open ones as well. */
    public void cut(boolean value) {
        cut = value;
    }

    /** Sets whether bytes towards the server are lost. */
    public void dropRequests(boolean value) {
        requestsDropped = value;
    }

    /** Sets whether bytes towards the client are lost. */
    public void dropAnswers(boolean value) {
        answersDropped = value;
    }

    /** Sets whether all bytes wait until the link is thawed. */
    public void freeze(boolean value) {
        frozen = value;
    }

    /**
     * Cuts short the next answers and closes their connections.
     *
     * @param count how many answers
     * @param length how many bytes of each are delivered
     */
    public void truncateNextAnswers(int count, int length) {
        truncatedLength = length;
        answersToTruncate.set(count);
    }

    /**
     * Delivers the next answers late.
     *
     * @param count how many answers
     * @param millis how much later than usual
     */
    public void delayNextAnswers(int count, long millis) {
        lateMillis = millis;
        answersToDelay.set(count);
    }

    /** Swaps the next answers of two connections, for the given number of pairs. */
    public void crossNextAnswers(int pairs) {
        answersToCross.set(2 * pairs);
    }

    /** Ends all faults but the delay. */
    public void heal() {
        cut = false;
        requestsDropped = false;
        answersDropped = false;
        frozen = false;
        answersToTruncate.set(0);
        answersToDelay.set(0);
        answersToCross.set(0);
    }

    long delayMicros() {
        return delayMicros;
    }

    long jitterMicros() {
        return jitterMicros;
    }

    boolean isCut() {
        return cut;
    }

    boolean drops(boolean towardsServer) {
        return towardsServer ? requestsDropped : answersDropped;
    }

    boolean isFrozen() {
        return frozen;
    }

    int truncatedLength() {
        return truncatedLength;
    }

    long lateMillis() {
        return lateMillis;
    }

    boolean takeTruncation() {
        return take(answersToTruncate);
    }

    boolean takeLateness() {
        return take(answersToDelay);
    }

    boolean takeCrossing() {
        return take(answersToCross);
    }

    private static boolean take(AtomicInteger counter) {
        return counter.getAndUpdate(count -> Math.max(0, count - 1)) > 0;
    }
}
