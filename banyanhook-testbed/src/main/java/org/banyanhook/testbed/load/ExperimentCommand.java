package org.banyanhook.testbed.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.banyanhook.testbed.fleet.FleetScenario;
import org.banyanhook.testbed.fleet.LocalFleet;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs experiments and prints what they measured. */
@Command(
        name = "experiment",
        description = "Runs load and faults on a fleet of real processes and prints what callers saw.",
        mixinStandardHelpOptions = true,
        footer = {
            "",
            "What this tool cannot see: latencies between machines and regions are not played, all processes share "
                    + "the cores of one machine, and links between daemons have no faults. A request counts as within "
                    + "the rate by the time it was due, so one that arrives late may be counted wrongly; of an account "
                    + "over its rate, requests served in place of others are not set off. A failover "
                    + "gap is as fine as the writes on its database are close together. A killed backend server "
                    + "loses its log and stays away. Reads of several sessions are checked for "
                    + "read-your-writes only."
        })
public final class ExperimentCommand implements Callable<Integer> {

    private static final long START_TIMEOUT_MILLIS = 120_000;

    @Option(names = "--scenario", defaultValue = "hanbit", description = "hanbit or vossberg.")
    @SuppressWarnings("NullAway.Init")
    private String scenario;

    @Option(
            names = "--fault",
            defaultValue = "NONE",
            description = "NONE, PRIMARY (kill each primary once), FROZEN_PRIMARY (pause each primary once, for good), "
                    + "DOMAIN (take a failure domain out and return it), "
                    + "FLOOD (one account sends six times as much).")
    @SuppressWarnings("NullAway.Init")
    private Experiment.Fault fault;

    @Option(
            names = "--baseline",
            defaultValue = "NONE",
            description = "NONE, PRIMARY_READS (all reads are current) or DIRECT (no daemons between).")
    @SuppressWarnings("NullAway.Init")
    private Experiment.Baseline baseline;

    @Option(names = "--seed", defaultValue = "1", description = "The seed of the first repeat; the next ones follow.")
    private long seed;

    @Option(names = "--repeats", defaultValue = "1", description = "How many runs, each on a fleet of its own.")
    private int repeats;

    @Option(names = "--seconds", defaultValue = "30", description = "How long the load runs.")
    private long seconds;

    @Option(
            names = "--warm-up-seconds",
            defaultValue = "8",
            description = "How long the load runs before it is measured.")
    private long warmUpSeconds;

    @Option(names = "--entry-vms", defaultValue = "1", description = "Daemons in each failure domain.")
    private int entryVmsPerDomain;

    @Option(names = "--json", description = "A file that takes the figures as JSON.")
    private @Nullable Path json;

    @Option(names = "--plot", description = "A file that takes the plot of service over time as text.")
    private @Nullable Path plot;

    @Spec
    @SuppressWarnings("NullAway.Init")
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        PrintWriter output = spec.commandLine().getOut();
        List<ExperimentReport> reports = new ArrayList<>();
        StringBuilder plots = new StringBuilder();
        for (int repeat = 0; repeat < repeats; repeat++) {
            ExperimentReport report = run(seed + repeat, output);
            reports.add(report);
            String drawn = TextPlot.draw(
                    report.figures().offeredPerSecond(), report.figures().successesPerSecond());
            plots.append("seed ").append(report.seed()).append('\n').append(drawn);
            output.print(report.table());
            output.print(drawn);
            output.flush();
        }
        printGaps(reports, output);
        write(reports, plots.toString());
        return 0;
    }

    private ExperimentReport run(long runSeed, PrintWriter output) throws IOException, InterruptedException {
        FleetScenario sizes = FleetScenario.named(scenario);
        if (fault == Experiment.Fault.PRIMARY || fault == Experiment.Fault.FROZEN_PRIMARY) {
            sizes = sizes.withAccount(AccountLoad.PROBE);
        }
        Experiment.Plan plan = new Experiment.Plan(fault, baseline, runSeed, warmUpSeconds * 1_000, seconds * 1_000);
        try (LocalFleet fleet = LocalFleet.start(sizes, entryVmsPerDomain, START_TIMEOUT_MILLIS)) {
            Figures figures = new Experiment(fleet, plan, output).run();
            return new ExperimentReport(
                    commit(),
                    scenario,
                    fault.name(),
                    baseline.name(),
                    runSeed,
                    entryVmsPerDomain,
                    plan.durationMillis(),
                    figures);
        }
    }

    private static void printGaps(List<ExperimentReport> reports, PrintWriter output) {
        List<Long> gaps = reports.stream()
                .flatMap(report -> report.figures().failoverGapsMillis().stream())
                .toList();
        if (!gaps.isEmpty()) {
            long worst = gaps.stream().mapToLong(Long::longValue).max().orElse(0);
            output.println("failover gap over " + gaps.size() + " primaries: median " + ExperimentReport.median(gaps)
                    + " ms, worst " + worst + " ms");
            output.flush();
        }
    }

    private void write(List<ExperimentReport> reports, String plots) throws IOException {
        if (json != null) {
            ObjectMapper mapper = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
            mapper.writeValue(json.toFile(), reports);
        }
        if (plot != null) {
            Files.writeString(plot, plots);
        }
    }

    private static String commit() throws IOException, InterruptedException {
        String revision = git("rev-parse", "--short", "HEAD");
        return git("status", "--porcelain").isEmpty() ? revision : revision + "+changes";
    }

    private static String git(String... arguments) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of("git"));
        command.addAll(List.of(arguments));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        String text = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
        return process.waitFor() == 0 ? text : "unknown";
    }
}
