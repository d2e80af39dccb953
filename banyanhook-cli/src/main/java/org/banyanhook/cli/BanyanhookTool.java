package org.banyanhook.cli;

import java.io.PrintWriter;
import java.util.List;
import java.util.function.UnaryOperator;
import org.jspecify.annotations.Nullable;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** The operators' command-line tool {@code banyanhook}. */
@Command(
        name = "banyanhook",
        mixinStandardHelpOptions = true,
        version = "banyanhook 0.1.0",
        description = "Shows the state of a fleet of banyanhook daemons and changes its configuration.",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {
            "0:done",
            "1:refused; the message states the remedy",
            "2:invalid usage of the tool",
            "3:no entry VM answered, or the outcome is unknown"
        },
        subcommands = {RunCommand.class, StoryCommand.class, ExplainCommand.class, AutoComplete.GenerateCompletion.class
        })
public final class BanyanhookTool {

    private final UnaryOperator<@Nullable String> environment;

    @Mixin
    private ConnectionOptions options = new ConnectionOptions();

    /**
     * Creates the tool.
     *
     * @param environment returns the value of an environment variable, or null if it is not set
     */
    BanyanhookTool(UnaryOperator<@Nullable String> environment) {
        this.environment = environment;
    }

    /**
     * Runs the tool and ends the process with its exit code.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(newCommandLine(System::getenv).execute(arguments));
    }

    static CommandLine newCommandLine(UnaryOperator<@Nullable String> environment) {
        CommandLine line = new CommandLine(new BanyanhookTool(environment));
        addVerb(
                line,
                "show",
                "Lists accounts, services, routes, databases, failure-domains, entry-vms, configuration"
                        + " or withdrawals.");
        addVerb(
                line,
                "set",
                "Changes limits: account <name> rate=.. burst=.. weight=.., or route <service> <route>"
                        + " maximum-age-millis=..");
        addVerb(line, "grant", "Adds: account <name> rate=.. burst=.., or key <account> id=.. hash=..");
        addVerb(line, "withdraw", "Withdraws a key permanently: key <account> <id>.");
        addVerb(line, "take-out", "Takes a failure domain out of service: failure-domain <name>.");
        addVerb(line, "return", "Returns to service: failure-domain, backend-server or entry-vm <name>.");
        addVerb(line, "drain", "Drains, so that no new work is assigned: backend-server or entry-vm <name>.");
        line.setCaseInsensitiveEnumValuesAllowed(true);
        line.setExecutionExceptionHandler((exception, command, result) -> reportFailure(exception, command));
        return line;
    }

    List<String> addresses() {
        return options.addresses();
    }

    CommandRunner newRunner(PrintWriter out) throws ToolException {
        return new CommandRunner(
                options, options.readOperatorKey(environment.apply(ConnectionOptions.OPERATOR_KEY_VARIABLE)), out);
    }

    private static void addVerb(CommandLine line, String verb, String description) {
        CommandLine command = new CommandLine(new VerbCommand());
        command.getCommandSpec().usageMessage().description(description);
        line.addSubcommand(verb, command);
    }

    private static int reportFailure(Exception exception, CommandLine command) throws Exception {
        if (exception instanceof ToolException failure) {
            command.getErr().println("banyanhook: " + failure.getMessage());
            return failure.exitCode();
        }
        throw exception;
    }
}
