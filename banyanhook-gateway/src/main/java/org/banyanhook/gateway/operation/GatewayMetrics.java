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
 * Counters, gauges and latency histograms. They are kept in plain arrays and registered with the metrics library at the
 * first scrape, so that a daemon that is not scraped does not load the library. Confined to the event loop.
 */
public final class GatewayMetrics {

    /** The upper bounds of the latency buckets, around the usual latency objectives. */
    private static final long[] LATENCY_BUCKETS_MILLIS = {1, 3, 10, 30, 100, 300, 600, 1_000, 3_000, 10_000};

    private final Map<MeterName, long[]> counters = new LinkedHashMap<>();
    private final Map<MeterName, DoubleSupplier> gauges = new LinkedHashMap<>();
    private final Map<String, MeterName[]> bucketNamesByHistogram = new HashMap<>();
    private @Nullable PrometheusMeterRegistry registry;

    private record MeterName(String name, String label, String value) {}

    /**
     * Increments a counter.
     *
     * @param name the name of the counter
     * @param label the name of its label
     * @param value the value of its label
     */
    public void count(String name, String label, String value) {
        counter(new MeterName(name, label, value))[0]++;
    }

    /**
     * Records a latency in a histogram.
     *
     * @param name the name of the histogram
     * @param nanos the latency in nanoseconds
     */
    public void recordLatency(String name, long nanos) {
        long millis = TimeUnit.NANOSECONDS.toMillis(nanos);
        MeterName[] names = bucketNamesByHistogram.computeIfAbsent(name, GatewayMetrics::bucketNames);
        for (int index = 0; index < LATENCY_BUCKETS_MILLIS.length; index++) {
            if (millis <= LATENCY_BUCKETS_MILLIS[index]) {
                counter(names[index])[0]++;
            }
        }
        counter(names[LATENCY_BUCKETS_MILLIS.length])[0]++;
    }

    /**
     * Registers a gauge, or replaces the supplier of a registered one.
     *
     * @param name the name of the gauge
     * @param label the name of its label
     * @param value the value of its label
     * @param supplier the supplier of the reading
     */
    public void gauge(String name, String label, String value, DoubleSupplier supplier) {
        MeterName meter = new MeterName(name, label, value);
        if (gauges.put(meter, supplier) == null && registry != null) {
            bindGauge(registry, meter);
        }
    }

    /** Returns all metrics in the Prometheus text format. */
    public String scrape() {
        PrometheusMeterRegistry currentRegistry = registry;
        if (currentRegistry == null) {
            PrometheusMeterRegistry newRegistry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
            counters.forEach((meter, counter) -> bindCounter(newRegistry, meter, counter));
            gauges.keySet().forEach(meter -> bindGauge(newRegistry, meter));
            registry = newRegistry;
            currentRegistry = newRegistry;
        }
        return currentRegistry.scrape();
    }

    private long[] counter(MeterName meter) {
        long[] existing = counters.get(meter);
        if (existing != null) {
            return existing;
        }
        long[] newCounter = new long[1];
        counters.put(meter, newCounter);
        if (registry != null) {
            bindCounter(registry, meter, newCounter);
        }
        return newCounter;
    }

    private static MeterName[] bucketNames(String name) {
        MeterName[] names = new MeterName[LATENCY_BUCKETS_MILLIS.length + 1];
        for (int index = 0; index < LATENCY_BUCKETS_MILLIS.length; index++) {
            names[index] = new MeterName(name + ".bucket", "le", Long.toString(LATENCY_BUCKETS_MILLIS[index]));
        }
        names[LATENCY_BUCKETS_MILLIS.length] = new MeterName(name + ".bucket", "le", "+Inf");
        return names;
    }

    private static void bindCounter(PrometheusMeterRegistry registry, MeterName meter, long[] counter) {
        FunctionCounter.builder("banyanhook." + meter.name(), counter, value -> value[0])
                .tags(Tags.of(meter.label(), meter.value()))
                .register(registry);
    }

    private void bindGauge(PrometheusMeterRegistry registry, MeterName meter) {
        Gauge.builder("banyanhook." + meter.name(), gauges, known -> readGauge(known, meter))
                .tags(Tags.of(meter.label(), meter.value()))
                .register(registry);
    }

    private static double readGauge(Map<MeterName, DoubleSupplier> gauges, MeterName meter) {
        DoubleSupplier supplier = gauges.get(meter);
        return supplier == null ? Double.NaN : supplier.getAsDouble();
    }
}
