package org.banyanhook.core.rate;

/** Converts between tokens and whole millionths of a token. Counting in millionths keeps all sums exact. */
public final class Tokens {

    /** The millionths in one token; one request needs one token. */
    public static final long MICROS_PER_TOKEN = 1_000_000;

    private static final double BINARY_FRACTION_ERROR_MICROS = 1e-3;

    private Tokens() {}

    /**
     * Converts tokens to millionths, rounded down with a tolerance for the representation error of binary fractions.
     */
    public static long toMicros(double tokens) {
        return (long) Math.floor(tokens * MICROS_PER_TOKEN + BINARY_FRACTION_ERROR_MICROS);
    }

    /** Converts tokens received in a message to millionths, rounded to the nearest and at least 0. */
    public static long receivedToMicros(double tokens) {
        return Math.max(0, Math.round(tokens * MICROS_PER_TOKEN));
    }

    /** Converts millionths to tokens. */
    public static double toTokens(long micros) {
        return (double) micros / MICROS_PER_TOKEN;
    }
}
