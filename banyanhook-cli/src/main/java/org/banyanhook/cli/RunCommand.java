package org.banyanhook.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ParentCommand;
import picocli.CommandLine.Spec;

/** Runs the commands of a script file in order and stops at the first command that fails. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description = "Runs the commands of a script, one per line; stops at the first command that fails.")
final class RunCommand implements Callable<Integer> {

    @Spec
    @SuppressWarnings("NullAway.Init")
    private CommandSpec spec;

    @ParentCommand
    @SuppressWarnings("NullAway.Init")
    private BanyanhookTool tool;

    @Parameters(paramLabel = "SCRIPT", description = "The script; blank lines and lines that start with # are skipped.")
    @SuppressWarnings("NullAway.Init")
    private Path script;

    @Override
    public Integer call() throws ToolException {
        List<String> lines = readLines();
        try (CommandRunner runner = tool.newRunner(spec.commandLine().getOut())) {
            for (int index = 0; index < lines.size(); index++) {
                runLine(runner, lines.get(index).strip(), index + 1);
            }
        }
        return ExitCodes.DONE;
    }

    private void runLine(CommandRunner runner, String line, int number) throws ToolException {
        if (line.isEmpty() || line.startsWith("#")) {
            return;
        }
        try {
            runner.run(line);
        } catch (ToolException exception) {
            throw new ToolException(exception.exitCode(), script + ":" + number + ": " + exception.getMessage());
        }
    }

    private List<String> readLines() throws ToolException {
        try {
            return Files.readAllLines(script);
        } catch (IOException exception) {
            throw new ToolException(ExitCodes.USAGE, "cannot read the script " + script + "; specify a readable file");
        }
    }
}
