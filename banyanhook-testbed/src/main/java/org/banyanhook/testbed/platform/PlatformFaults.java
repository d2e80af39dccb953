package org.banyanhook.testbed.platform;

import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/** The faults that the stand-in of the platform's service plays. Safe for use by several threads. */
public final class PlatformFaults {

    private volatile boolean outage;
    private volatile long delayMillis;
    private final AtomicInteger answersToLose = new AtomicInteger();

    /**
     * A change of some faults; a null field leaves its fault as it is.
     *
     * @param outage true to close every connection without an answer and without effect
     * @param delayMillis how long every call waits before it takes effect, in milliseconds
     * @param loseNextAnswers how many of the next calls take effect without an answer
     * @param virtualMachineLagMillis how late changes of the list of virtual machines become visible
     */
    public record Change(
            @Nullable Boolean outage,
            @Nullable Long delayMillis,
            @Nullable Integer loseNextAnswers,
            @Nullable Long virtualMachineLagMillis) {}

    void apply(Change change) {
        if (change.outage() != null) {
            outage = change.outage();
        }
        if (change.delayMillis() != null) {
            delayMillis = change.delayMillis();
        }
        if (change.loseNextAnswers() != null) {
            answersToLose.set(change.loseNextAnswers());
        }
    }

    boolean outage() {
        return outage;
    }

    long delayMillis() {
        return delayMillis;
    }

    boolean takeLostAnswer() {
        return answersToLose.getAndUpdate(count -> Math.max(0, count - 1)) > 0;
    }
}
