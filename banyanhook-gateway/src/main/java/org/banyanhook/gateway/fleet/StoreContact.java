package org.banyanhook.gateway.fleet;

import java.util.Locale;

/** What is known of the time since the store answered last. */
public enum StoreContact {
    /** The store has not answered since this daemon started. */
    NONE_SINCE_START,
    /** The machine may have been suspended since the last answer, so that the time is not known. */
    SUSPENDED,
    /** The time since the last answer is known. */
    MEASURED;

    /** Returns the value of the log field. */
    public String logValue() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
