package org.banyanhook.testbed;

import org.banyanhook.testbed.demo.DemoCommand;
import org.banyanhook.testbed.load.ExperimentCommand;
import org.banyanhook.testbed.soak.SoakCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command of the testbed: demonstrations and experiments on real processes. */
@Command(
        name = "testbed",
        description = "Runs a fleet of real processes on 127.0.0.1.",
        mixinStandardHelpOptions = true,
        subcommands = {DemoCommand.class, ExperimentCommand.class, SoakCommand.class})
public final class Testbed {

    private Testbed() {}

    /**
     * Runs the command.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new Testbed()).execute(arguments));
    }
}
