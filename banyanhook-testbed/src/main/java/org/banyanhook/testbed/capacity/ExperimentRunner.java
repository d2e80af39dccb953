package org.banyanhook.testbed.capacity;

import com.google.common.collect.ImmutableList;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.lang.ref.Reference;
import java.util.List;

/**
 * Runs experiments on the calling thread and counts its processor time.
 *
 * <p>Processor time is the thread's own, so other load on the machine changes it little; caches shared with other
 * processes are not accounted for. Retained heap is the difference of used heap after two collections.
 */
public final class ExperimentRunner {

    private static final long WARM_UP_NANOS = 300_000_000L;
    private static final long MEASURED_NANOS = 500_000_000L;
    private static final int MAXIMUM_OPERATIONS = 2_000_000;

    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final long seed;

    /**
     * Creates a runner.
     *
     * @param seed the seed given to every setup
     */
    public ExperimentRunner(long seed) {
        this.seed = seed;
    }

    /**
     * Measures an experiment at each of its sizes.
     *
     * @param experiment the experiment
     * @return one sample for each size
     */
    public List<Sample> run(Experiment experiment) {
        ImmutableList.Builder<Sample> samples = ImmutableList.builder();
        for (int size : experiment.sizes()) {
            samples.add(measure(experiment, size));
        }
        return samples.build();
    }

    private Sample measure(Experiment experiment, int size) {
        long heapBefore = usedHeap();
        Experiment.Subject subject = experiment.setup().create(size, seed);
        long retained = Math.max(0, usedHeap() - heapBefore);
        int warmUpRounds = operateFor(subject, 0, WARM_UP_NANOS).rounds();
        Work work = operateFor(subject, warmUpRounds, MEASURED_NANOS);
        Reference.reachabilityFence(subject);
        return new Sample(
                size,
                work.processorNanos() / (double) work.rounds(),
                retained,
                work.messageBytes() / (double) work.rounds());
    }

    private Work operateFor(Experiment.Subject subject, int firstRound, long processorNanos) {
        long start = threads.getCurrentThreadCpuTime();
        long messageBytes = 0;
        long spent = 0;
        int rounds = 0;
        while (spent < processorNanos && rounds < MAXIMUM_OPERATIONS) {
            messageBytes += subject.operate(firstRound + rounds);
            rounds++;
            spent = threads.getCurrentThreadCpuTime() - start;
        }
        return new Work(rounds, spent, messageBytes);
    }

    private static long usedHeap() {
        Runtime runtime = Runtime.getRuntime();
        System.gc();
        System.gc();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private record Work(int rounds, long processorNanos, long messageBytes) {}
}
