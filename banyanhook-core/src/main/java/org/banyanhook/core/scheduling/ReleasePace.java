package org.banyanhook.core.scheduling;

/**
 * Limits how many waiting writers are in flight at a primary that has just been promoted (slow start): one at first,
 * one more for each answer, so that the number doubles with each round of answers. After a refusal of the primary as
 * overloaded the number is halved, and then grows by one for each ten answers.
 *
 * <p>Load: all daemons release their waiting writers at the moment of a promotion, and the primary refuses what exceeds
 * its slots and its queue. The limit ends when no writers wait any more, when it exceeds the number of connections that
 * this daemon may have to the primary and the primary has refused nothing, and in any case after
 * {@value #MAXIMUM_DURATION_MILLIS} ms. Not safe for use by several threads.
 */
public final class ReleasePace {

    /** A backlog of 2 s, the longest that callers wait, is served within this time at a load of up to 0.4. */
    static final long MAXIMUM_DURATION_MILLIS = 3_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Without an answer for this long, the requests in flight count as lost and others may be sent. */
    private static final long SILENCE_NANOS = 100 * NANOS_PER_MILLI;

    /** About the time that one of the 4 slots of a primary needs for a statement, divided by the slots. */
    private static final long START_SPACING_NANOS = NANOS_PER_MILLI;

    /** Slower growth than in a round of answers: the primary's queue is full again soon otherwise. */
    private static final double GROWTH_AFTER_REFUSAL = 0.1;

    private boolean limiting;
    private boolean refused;
    private long startNanos;
    private long endNanos;
    private long lastProgressNanos;
    private int inFlight;
    private double window;
    private int limit;

    /**
     * Begins to limit, because a primary has been promoted.
     *
     * @param nowNanos the time
     * @param daemons the number of daemons that release their writers at the same time
     * @param draw a random value from 0 to 1, which spreads the first requests of the daemons
     * @param connections how many connections this daemon may have to the primary
     * @return when the first request may be sent
     */
    public long begin(long nowNanos, int daemons, double draw, int connections) {
        limiting = true;
        refused = false;
        startNanos = nowNanos + (long) (draw * daemons * START_SPACING_NANOS);
        endNanos = nowNanos + MAXIMUM_DURATION_MILLIS * NANOS_PER_MILLI;
        lastProgressNanos = startNanos;
        inFlight = 0;
        window = 1;
        limit = Math.max(1, connections);
        return startNanos;
    }

    /** Ends the limit, because no writers wait any more. */
    public void end() {
        limiting = false;
    }

    /** Returns whether another request may be sent to the primary now. */
    public boolean allows(long nowNanos) {
        if (limiting && nowNanos - endNanos >= 0) {
            limiting = false;
        }
        if (!limiting) {
            return true;
        }
        if (nowNanos - startNanos < 0) {
            return false;
        }
        if (nowNanos - lastProgressNanos >= SILENCE_NANOS) {
            inFlight = 0;
            lastProgressNanos = nowNanos;
        }
        return inFlight + 1 <= window;
    }

    /** Records that a request was sent to the primary. */
    public void recordSent(long nowNanos) {
        if (limiting) {
            inFlight++;
            lastProgressNanos = nowNanos;
        }
    }

    /**
     * Records an answer of the primary.
     *
     * @param overloaded whether the primary refused the request because it is overloaded
     * @param nowNanos the time
     */
    public void recordAnswer(boolean overloaded, long nowNanos) {
        if (!limiting) {
            return;
        }
        inFlight = Math.max(0, inFlight - 1);
        lastProgressNanos = nowNanos;
        if (overloaded) {
            refused = true;
            window = Math.max(1, window / 2);
        } else {
            window += refused ? GROWTH_AFTER_REFUSAL : 1;
            limiting = refused || window <= limit;
            window = Math.min(window, limit);
        }
    }

    /** Returns whether requests are limited. */
    public boolean isLimiting() {
        return limiting;
    }
}
