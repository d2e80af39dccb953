package org.banyanhook.daemon;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.daemon.logging.LogConfigurator;
import org.banyanhook.daemon.settings.CheckCommand;
import org.banyanhook.daemon.settings.DaemonSettings;
import org.banyanhook.daemon.settings.SettingsException;
import org.banyanhook.daemon.settings.SettingsLoader;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The command {@code banyanhookd}, which runs the daemon of one entry VM until the process is asked to stop. */
@Command(
        name = "banyanhookd",
        description = "Runs the daemon of one entry VM.",
        mixinStandardHelpOptions = true,
        version = "banyanhookd " + BanyanhookDaemon.VERSION,
        subcommands = CheckCommand.class,
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:stopped on request", "1:could not start", "2:invalid arguments or settings"})
public final class BanyanhookDaemon implements Callable<Integer> {

    /** The version of this daemon. */
    public static final String VERSION = "0.1.0";

    static {
        // The shutdown hook of Log4j would end the log while requests are still being finished.
        System.setProperty("log4j2.shutdownHookEnabled", "false");
    }

    private static final Logger LOGGER = LogManager.getLogger(BanyanhookDaemon.class);
    private static final Duration START_TIMEOUT = Duration.ofSeconds(20);
    private static final int EXIT_STOPPED = 0;
    private static final int EXIT_START_FAILED = 1;
    private static final int EXIT_INVALID_SETTINGS = 2;

    @Option(names = "--settings", paramLabel = "FILE", description = "The YAML file with the settings.")
    private @Nullable Path settingsFile;

    @Spec
    @SuppressWarnings("NullAway.Init")
    private CommandSpec spec;

    /**
     * Runs the command.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new BanyanhookDaemon()).execute(arguments));
    }

    @Override
    public Integer call() throws InterruptedException {
        Path file = settingsFile;
        if (file == null) {
            throw new ParameterException(spec.commandLine(), "Missing required option: '--settings=FILE'");
        }
        DaemonSettings settings;
        try {
            settings = new SettingsLoader().load(file);
        } catch (SettingsException exception) {
            LOGGER.error("invalid settings: {}", exception.getMessage());
            return EXIT_INVALID_SETTINGS;
        }
        LogConfigurator.apply(settings.log());
        return run(settings);
    }

    private static int run(DaemonSettings settings) throws InterruptedException {
        CompletableFuture<Optional<DaemonAssembly>> started = new CompletableFuture<>();
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(started, stopped), "shutdown"));
        try (DaemonAssembly assembly = DaemonAssembly.start(settings)) {
            LOGGER.info("entry VM {} started, version {}", settings.entryVm(), VERSION);
            started.complete(Optional.of(assembly));
            stopped.await();
            return EXIT_STOPPED;
        } catch (DaemonStartException exception) {
            LOGGER.error("could not start the daemon", exception);
            return EXIT_START_FAILED;
        } finally {
            started.complete(Optional.empty());
        }
    }

    /** Closes the daemon, once its start has ended. */
    private static void shutDown(CompletableFuture<Optional<DaemonAssembly>> started, CountDownLatch stopped) {
        Optional<DaemonAssembly> assembly = started.completeOnTimeout(
                        Optional.empty(), START_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .join();
        if (assembly.isPresent()) {
            LOGGER.info("shutdown requested; finishing requests in progress");
            assembly.get().close();
            LOGGER.info("stopped");
        }
        stopped.countDown();
        LogManager.shutdown();
    }
}
