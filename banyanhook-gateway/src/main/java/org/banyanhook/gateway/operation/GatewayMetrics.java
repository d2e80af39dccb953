package org.banyanhook.gateway.operation;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Counters, gauges and latency histograms. They are plain numbers until metrics are asked for the first time, so that a
 * daemon which nobody watches starts without the metrics library. Used on the event loop only.
 */
public final class GatewayMetrics {

    /** The upper bounds of the latency buckets in milliseconds, around the usual latency objectives. */
    private static final long[] BUCKET_MILLIS = {1, 3, 10, 30, 100, 300, 600, 1_000, 3_000, 10_000};

    private final Map<MeterName, long[]> counters = new LinkedHashMap<>();
    private final Map<MeterName, DoubleSupplier> gauges = new LinkedHashMap<>();
    private final Map<String, MeterName[]> buckets = new HashMap<>();
    private @Nullable PrometheusMeterRegistry registry;

    private record MeterName(String name, String label, String value) {}

    /**
     * Counts an event.
     *
     * @param name the counter
     * @param label the name of its label
     * @param value the value of its label
     */
    public void count(String name, String label, String value) {
        cell(new MeterName(name, label, value))[0]++;
    }

    /**
     * Counts a latency.
     *
     * @param name the histogram
     * @param nanos the latency
     */
    public void latency(String name, long nanos) {
        long millis = TimeUnit.NANOSECONDS.toMillis(nanos);
        MeterName[] names = buckets.computeIfAbsent(name, GatewayMetrics::bucketNames);
        for (int index = 0; index < BUCKET_MILLIS.length; index++) {
            if (millis <= BUCKET_MILLIS[index]) {
                cell(names[index])[0]++;
            }
        }
        cell(names[BUCKET_MILLIS.length])[0]++;
    }

    /**
     * Registers a gauge.
     *
     * @param name its name
     * @param label the name of its label
     * @param value the value of its label
     * @param reading what it shows
     */
    public void gauge(String name, String label, String value, DoubleSupplier reading) {
        MeterName meter = new MeterName(name, label, value);
        if (gauges.put(meter, reading) == null && registry != null) {
            bindGauge(registry, meter);
        }
    }

    /** Returns all metrics as Prometheus text. */
    public String scrape() {
        PrometheusMeterRegistry present = registry;
        if (present == null) {
            PrometheusMeterRegistry created = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
            counters.forEach((meter, cell) -> bindCounter(created, meter, cell));
            gauges.keySet().forEach(meter -> bindGauge(created, meter));
            registry = created;
            present = created;
        }
        return present.scrape();
    }

    private long[] cell(MeterName meter) {
        long[] known = counters.get(meter);
        if (known != null) {
            return known;
        }
        long[] created = new long[1];
        counters.put(meter, created);
        if (registry != null) {
            bindCounter(registry, meter, created);
        }
        return created;
    }

    private static MeterName[] bucketNames(String name) {
        MeterName[] names = new MeterName[BUCKET_MILLIS.length + 1];
        for (int index = 0; index < BUCKET_MILLIS.length; index++) {
            names[index] = new MeterName(name + ".bucket", "le", Long.toString(BUCKET_MILLIS[index]));
        }
        names[BUCKET_MILLIS.length] = new MeterName(name + ".bucket", "le", "+Inf");
        return names;
    }

    private static void bindCounter(PrometheusMeterRegistry registry, MeterName meter, long[] cell) {
        FunctionCounter.builder("banyanhook." + meter.name(), cell, value -> value[0])
                .tags(Tags.of(meter.label(), meter.value()))
                .register(registry);
    }

    private void bindGauge(PrometheusMeterRegistry registry, MeterName meter) {
        Gauge.builder("banyanhook." + meter.name(), gauges, known -> reading(known, meter))
                .tags(Tags.of(meter.label(), meter.value()))
                .register(registry);
    }

    private static double reading(Map<MeterName, DoubleSupplier> known, MeterName meter) {
        DoubleSupplier supplier = known.get(meter);
        return supplier == null ? Double.NaN : supplier.getAsDouble();
    }
}
