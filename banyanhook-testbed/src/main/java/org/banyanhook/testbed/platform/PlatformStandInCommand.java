package org.banyanhook.testbed.platform;

import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs the stand-in of the platform's service as a process until it is terminated. */
@Command(name = "platform-stand-in", mixinStandardHelpOptions = true)
public final class PlatformStandInCommand implements Callable<Integer> {

    @Option(names = "--port", description = "The port on 127.0.0.1; any free one by default.")
    private int port;

    @Spec
    @SuppressWarnings("NullAway.Init")
    private CommandSpec spec;

    /**
     * Starts the process.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new PlatformStandInCommand()).execute(arguments));
    }

    @Override
    public Integer call() throws InterruptedException {
        try (PlatformStandIn standIn = PlatformStandIn.builder().port(port).start()) {
            PrintWriter output = spec.commandLine().getOut();
            output.println("listening " + standIn.address());
            output.flush();
            Thread.currentThread().join();
        }
        return 0;
    }
}
