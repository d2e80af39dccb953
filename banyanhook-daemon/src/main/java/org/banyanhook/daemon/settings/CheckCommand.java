package org.banyanhook.daemon.settings;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Command that checks a settings file without starting the daemon. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Checks a settings file and starts nothing.",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:the settings can be used", "2:the settings cannot be used"})
public final class CheckCommand implements Callable<Integer> {

    private static final int EXIT_CODE_USABLE = 0;
    private static final int EXIT_CODE_NOT_USABLE = 2;

    @Spec
    @SuppressWarnings("NullAway.Init")
    private CommandSpec spec;

    @Option(names = "--settings", required = true, paramLabel = "FILE", description = "The settings file.")
    @SuppressWarnings("NullAway.Init")
    private Path file;

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        try {
            DaemonSettings settings = new SettingsLoader().load(file);
            SettingsAdvice.of(settings).forEach(advice -> out.println("note: " + advice));
            out.println(file + " can be used: entry VM " + settings.entryVm() + " of failure domain "
                    + settings.failureDomain());
            return EXIT_CODE_USABLE;
        } catch (SettingsException exception) {
            spec.commandLine().getErr().println(exception.getMessage());
            return EXIT_CODE_NOT_USABLE;
        }
    }
}
