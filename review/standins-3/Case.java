import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** Runs a case: prepares the record and a temporary folder, and turns the result into the exit status. */
final class Case {

    /** Not 1, with which the Java machine ends if it cannot run the case. */
    private static final int BROKEN = 10;

    private static final int NOT_RUN = 2;

    /** The steps of a case. */
    @FunctionalInterface
    interface Steps {
        /** Returns whether the rule held. */
        boolean run(Trace trace, Path folder, Path repository, boolean trouble) throws Exception;
    }

    private Case() {}

    /** Runs the steps; the arguments are the repository and the folder of the case. */
    static void run(String[] arguments, Steps steps) throws IOException {
        Path repository = Path.of(arguments[0]).toAbsolutePath();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("banyanhook-case");
        int status;
        try (Trace trace = new Trace(Path.of(arguments[1]).resolve("record.txt"))) {
            trace.line("case", trouble ? "with the disruption" : "without the disruption");
            try {
                boolean held = steps.run(trace, folder, repository, trouble);
                trace.line("case", held ? "the rule held" : "THE RULE WAS BROKEN");
                status = held ? 0 : BROKEN;
            } catch (Exception | LinkageError exception) {
                trace.line("case", "could not run: " + exception);
                exception.printStackTrace();
                status = NOT_RUN;
            }
        }
        if (System.getenv("KEEP_LOGS") == null) {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        } else {
            System.out.println("logs of the daemons: " + folder);
        }
        Runtime.getRuntime().halt(status);
    }
}
