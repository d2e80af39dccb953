package org.banyanhook.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ParentCommand;
import picocli.CommandLine.Spec;

/** A verb of the command language, whose words are passed on unchanged. */
@Command(mixinStandardHelpOptions = true)
final class VerbCommand implements Callable<Integer> {

    @Spec
    @SuppressWarnings("NullAway.Init")
    private CommandSpec spec;

    @ParentCommand
    @SuppressWarnings("NullAway.Init")
    private BanyanhookTool tool;

    @Parameters(paramLabel = "WORD", description = "The remaining words of the command.")
    private List<String> words = new ArrayList<>();

    @Override
    public Integer call() throws ToolException {
        try (CommandRunner runner = tool.newRunner(spec.commandLine().getOut())) {
            runner.run(CommandLineJoiner.join(spec.name(), words));
        }
        return ExitCodes.DONE;
    }
}
