package org.banyanhook.testbed.soak;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs the soak for consecutive seeds, one after the other. */
@Command(
        name = "soak",
        description = "Injects random faults into gateways that run as processes, and checks their guarantees.",
        mixinStandardHelpOptions = true,
        footer = {"", "Exit codes: 0 no guarantee violated, 1 violated; the logs of each seed stay in its folder."})
public final class SoakCommand implements Callable<Integer> {

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "The first seed; further runs use the following numbers.")
    private long seed;

    @Option(names = "--runs", defaultValue = "1", description = "The number of seeds to run.")
    private int runs;

    @Option(names = "--seconds", defaultValue = "20", description = "How long faults are injected in each run.")
    private int seconds;

    @Option(
            names = "--planned",
            description = "Plays planned work in overlapping series in place of faults; no answer may be cut off.")
    private boolean planned;

    @Option(names = "--gateways", defaultValue = "4", description = "The number of gateway processes.")
    private int gateways;

    @Option(names = "--callers", defaultValue = "8", description = "The number of callers.")
    private int callers;

    @Option(names = "--folder", description = "The folder for the logs; a temporary folder by default.")
    private @Nullable Path folder;

    @Spec
    @SuppressWarnings("NullAway.Init")
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        Path baseFolder = folder == null ? Files.createTempDirectory("soak") : folder;
        int failedRuns = 0;
        for (long currentSeed = seed; currentSeed < seed + runs; currentSeed++) {
            SoakRun.Builder run = SoakRun.builder(
                            currentSeed, Files.createDirectories(baseFolder.resolve("seed-" + currentSeed)))
                    .seconds(seconds)
                    .gateways(gateways)
                    .callers(callers);
            SoakRun.Result result = (planned ? run.plannedWork() : run).build().run();
            out.println("seed " + currentSeed + ": " + (result.violations().isEmpty() ? "kept" : "BROKEN") + "; "
                    + result.summary());
            if (!result.violations().isEmpty()) {
                failedRuns++;
                result.violations().forEach(line -> out.println("  " + line));
                result.faults().forEach(line -> out.println("  fault: " + line));
            }
            out.flush();
        }
        out.println(failedRuns + " of " + runs + " seeds broke a promise; logs in " + baseFolder);
        return failedRuns == 0 ? 0 : 1;
    }
}
