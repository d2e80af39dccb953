package org.banyanhook.core.rate;

/** Converts between tokens and the whole millionths in which they are counted, so that no sum loses or gains any. */
public final class Tokens {

    /** Millionths in one token, which is one request. */
    public static final long MICROS_PER_TOKEN = 1_000_000;

    private static final double BINARY_FRACTION_ERROR_MICROS = 1e-3;

    private Tokens() {}

    /** Converts tokens to millionths, rounded down except for an error of binary fractions. */
    public static long toMicros(double tokens) {
        return (long) Math.floor(tokens * MICROS_PER_TOKEN + BINARY_FRACTION_ERROR_MICROS);
    }

    /** Converts tokens received in a message to the nearest millionths. */
    public static long receivedToMicros(double tokens) {
        return Math.max(0, Math.round(tokens * MICROS_PER_TOKEN));
    }

    /** Converts millionths to tokens. */
    public static double toTokens(long micros) {
        return (double) micros / MICROS_PER_TOKEN;
    }
}
