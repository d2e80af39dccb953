package org.banyanhook.testbed.capacity;

import com.google.common.collect.ImmutableList;
import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures the slopes of one daemon's decisions and works them out to the target's size. */
@Command(
        name = "capacity",
        mixinStandardHelpOptions = true,
        description = {
            "Drives the decisions of one daemon with the inputs that a large fleet would give it, without sockets, and",
            "prints what one operation costs at each size, the slope, and the cost at the target's size.",
            "It can't see: the network, TLS, the cost of sockets and threads, and caches shared with other work."
        })
public final class CapacityCommand implements Callable<Integer> {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final double BYTES_PER_MEGABYTE = 1e6;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "The seed of random choices; ${DEFAULT-VALUE} by default.")
    private long seed;

    @Option(names = "--commit", defaultValue = "unknown", description = "The commit to name in the output.")
    @SuppressWarnings("NullAway.Init")
    private String commit;

    @Spec
    @SuppressWarnings("NullAway.Init")
    private CommandSpec spec;

    /**
     * Runs the command.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new CapacityCommand()).execute(arguments));
    }

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        out.printf("commit %s, seed %d%n", commit, seed);
        ExperimentRunner runner = new ExperimentRunner(seed);
        for (Experiment experiment : experiments()) {
            print(out, experiment, runner.run(experiment));
        }
        out.flush();
        return 0;
    }

    private static List<Experiment> experiments() {
        return ImmutableList.<Experiment>builder()
                .addAll(RoutingExperiments.all())
                .addAll(PrimaryExperiments.all())
                .addAll(MembershipExperiments.all())
                .addAll(ConfigurationExperiments.all())
                .addAll(RateExperiments.all())
                .build();
    }

    private static void print(PrintWriter out, Experiment experiment, List<Sample> samples) {
        out.printf("%n%s: %s%n", experiment.role(), experiment.operation());
        out.printf("%14s %14s %14s %14s%n", experiment.sizeUnit(), "us", "state MB", "bytes");
        for (Sample sample : samples) {
            printRow(
                    out,
                    Long.toString(sample.size()),
                    sample.processorNanos(),
                    sample.stateBytes(),
                    sample.messageBytes());
        }
        Slope processor = Slope.fit(samples, Sample::processorNanos);
        Slope state = Slope.fit(samples, Sample::stateBytes);
        Slope messages = Slope.fit(samples, Sample::messageBytes);
        long target = experiment.targetSize();
        printRow(out, "at " + target, processor.at(target), state.at(target), messages.at(target));
        out.printf(
                Locale.ROOT,
                "slope %.4f us for each of %s; at %.3f operations/s: %.4f%% of a core, %.0f bytes/s%n",
                processor.perUnit() / NANOS_PER_MICRO,
                experiment.sizeUnit(),
                experiment.operationsPerSecond(),
                100 * processor.at(target) * experiment.operationsPerSecond() / NANOS_PER_SECOND,
                messages.at(target) * experiment.operationsPerSecond());
    }

    private static void printRow(PrintWriter out, String label, double nanos, double state, double bytes) {
        out.printf(
                Locale.ROOT,
                "%14s %14.2f %14.3f %14.0f%n",
                label,
                nanos / NANOS_PER_MICRO,
                state / BYTES_PER_MEGABYTE,
                bytes);
    }
}
