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

/** Plays seeds of the soak one after the other. */
@Command(
        name = "soak",
        description = "Plays random faults on gateways that run as processes, and checks the promises.",
        mixinStandardHelpOptions = true,
        footer = {"", "Exit codes: 0 no promise broken, 1 broken; the logs of a broken seed stay in its folder."})
public final class SoakCommand implements Callable<Integer> {

    @Option(names = "--seed", defaultValue = "1", description = "The first seed; the next ones follow.")
    private long seed;

    @Option(names = "--runs", defaultValue = "1", description = "How many seeds.")
    private int runs;

    @Option(names = "--seconds", defaultValue = "20", description = "How long faults come in each run.")
    private int seconds;

    @Option(names = "--folder", description = "Takes the logs; a temporary folder by default.")
    private @Nullable Path folder;

    @Spec
    @SuppressWarnings("NullAway.Init")
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        Path base = folder == null ? Files.createTempDirectory("soak") : folder;
        int broken = 0;
        for (long next = seed; next < seed + runs; next++) {
            SoakRun.Result result =
                    new SoakRun(next, seconds, Files.createDirectories(base.resolve("seed-" + next))).play();
            out.println(
                    "seed " + next + ": " + (result.broken().isEmpty() ? "kept" : "BROKEN") + "; " + result.summary());
            if (!result.broken().isEmpty()) {
                broken++;
                result.broken().forEach(line -> out.println("  " + line));
                result.faults().forEach(line -> out.println("  fault: " + line));
            }
            out.flush();
        }
        out.println(broken + " of " + runs + " seeds broke a promise; logs in " + base);
        return broken == 0 ? 0 : 1;
    }
}
