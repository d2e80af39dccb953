package org.banyanhook.testbed.demo;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import org.banyanhook.testbed.fleet.EntryVmProcess;
import org.banyanhook.testbed.fleet.FleetCaller;
import org.banyanhook.testbed.fleet.FleetRequest;
import org.banyanhook.testbed.fleet.FleetRoutes;
import org.banyanhook.testbed.fleet.FleetScenario;
import org.banyanhook.testbed.fleet.LocalFleet;
import org.banyanhook.testbed.http.JsonAnswer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Starts a fleet, sends a write, a read under the same session and an operator's query, and shows the answers. */
@Command(
        name = "demo",
        description = "Starts a fleet, sends a write, a read elsewhere under the session, and an operator's query.",
        mixinStandardHelpOptions = true,
        exitCodeList = {"0:every step succeeded", "1:a step failed"})
public final class DemoCommand implements Callable<Integer> {

    private static final long START_TIMEOUT_MILLIS = 90_000;
    private static final int SUCCESS = 200;

    @Option(names = "--scenario", defaultValue = "hanbit", description = "hanbit or vossberg.")
    @SuppressWarnings("NullAway.Init")
    private String scenario;

    @Option(names = "--entry-vms", defaultValue = "1", description = "Daemons in each failure domain.")
    private int entryVmsPerDomain;

    @Option(names = "--stop", description = "Stop the fleet at once instead of waiting for Enter or SIGTERM.")
    private boolean stop;

    @Spec
    @SuppressWarnings("NullAway.Init")
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        PrintWriter output = spec.commandLine().getOut();
        output.println("Starting the fleet of scenario " + scenario + " ...");
        output.flush();
        try (LocalFleet fleet =
                LocalFleet.start(FleetScenario.named(scenario), entryVmsPerDomain, START_TIMEOUT_MILLIS)) {
            boolean succeeded = run(fleet, output);
            output.println(succeeded ? "Every step succeeded." : "A step failed.");
            output.flush();
            if (!stop) {
                leaveRunning(fleet, output);
            }
            return succeeded ? 0 : 1;
        }
    }

    private static boolean run(LocalFleet fleet, PrintWriter output) {
        EntryVmProcess first = fleet.entryVms().get(0);
        EntryVmProcess last = fleet.entryVms().get(fleet.entryVms().size() - 1);
        String database = fleet.scenario().databases().get(0);
        FleetCaller caller = fleet.caller(0);

        FleetRequest write = FleetRequest.of(FleetRoutes.ONCE, database, "put batch-1 4711");
        JsonAnswer written = caller.send(first, write, null, "demo-1").join();
        boolean writeSucceeded = print(output, "write through " + first.name(), written, written.status() == SUCCESS);

        FleetRequest read = FleetRequest.of(FleetRoutes.READ, database, "get batch-1");
        String session = written.headers().get(FleetCaller.SESSION_HEADER);
        JsonAnswer seen = caller.send(last, read, session, null).join();
        boolean readSucceeded = print(
                output, "read through " + last.name(), seen, seen.text("result").equals("4711"));

        JsonAnswer repeated = caller.send(last, write, session, "demo-1").join();
        boolean replayed = repeated.body().path("replayed").asBoolean();
        boolean repeatSucceeded = print(output, "same write again through " + last.name(), repeated, replayed);

        JsonAnswer shown = fleet.command(first, "show services");
        boolean queryAnswered = print(output, "show services at " + first.name(), shown, shown.status() == SUCCESS);
        return writeSucceeded && readSucceeded && repeatSucceeded && queryAnswered;
    }

    private static boolean print(PrintWriter output, String step, JsonAnswer answer, boolean succeeded) {
        output.println((succeeded ? "ok      " : "FAILED  ") + step + ": " + answer.status() + " " + answer.body());
        return succeeded;
    }

    private static void leaveRunning(LocalFleet fleet, PrintWriter output) throws IOException {
        output.println("The fleet goes on until Enter or SIGTERM. Settings and logs: " + fleet.directory());
        for (EntryVmProcess entryVm : fleet.entryVms()) {
            output.println("  " + entryVm.name() + ": callers " + entryVm.callers() + ", operators "
                    + entryVm.administration());
        }
        output.println("  client account key: "
                + fleet.scenario().accounts().get(0).key() + ", operator key: " + EntryVmProcess.OPERATOR_KEY);
        output.flush();
        Thread closing = new Thread(() -> closeQuietly(fleet, output), "closing");
        Runtime.getRuntime().addShutdownHook(closing);
        int input = System.in.read();
        if (input < 0) {
            awaitTermination();
        }
        Runtime.getRuntime().removeShutdownHook(closing);
    }

    private static void awaitTermination() {
        try {
            Thread.currentThread().join();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private static void closeQuietly(LocalFleet fleet, PrintWriter output) {
        try {
            fleet.close();
        } catch (IOException exception) {
            output.println("a process did not stop: " + exception.getMessage());
            output.flush();
        }
    }
}
