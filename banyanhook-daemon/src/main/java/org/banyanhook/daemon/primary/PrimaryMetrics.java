package org.banyanhook.daemon.primary;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;

/** The meters of the primary controller. Thread-safe. */
final class PrimaryMetrics {

    private final MeterRegistry registry;
    private final Counter statusReads;
    private final Counter statusReadFailures;
    private final Timer confirmationTime;

    PrimaryMetrics(MeterRegistry registry) {
        this.registry = registry;
        this.statusReads = registry.counter("banyanhook.primary.status.reads");
        this.statusReadFailures = registry.counter("banyanhook.primary.status.read.failures");
        this.confirmationTime = registry.timer("banyanhook.primary.confirmation.time");
    }

    void recordStatusRead() {
        statusReads.increment();
    }

    void recordStatusReadFailure() {
        statusReadFailures.increment();
    }

    void recordConfirmation(long waitNanos) {
        confirmationTime.record(waitNanos, java.util.concurrent.TimeUnit.NANOSECONDS);
    }

    void recordConfirmationFailure(String cause) {
        registry.counter("banyanhook.primary.confirmation.failures", "cause", cause)
                .increment();
    }

    void recordPromotion(String result) {
        registry.counter("banyanhook.primary.promotions", "result", result).increment();
    }

    void recordEvidence(String result) {
        registry.counter("banyanhook.primary.evidence", "result", result).increment();
    }
}
