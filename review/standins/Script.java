import java.nio.file.Path;

/** Runs the play of a case: starts the fleet, ends it, and exits with 0 (held), 1 (broken) or 2 (could not run). */
final class Script {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    /** What a case does with the fleet. */
    interface Play {
        int run(Fleet fleet, Journal journal, boolean trouble) throws Exception;
    }

    private Script() {}

    static void run(String folder, int daemons, Play play) {
        int status = NOT_RUN;
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Journal journal = new Journal(Path.of(folder, "record.txt"))) {
            try (Fleet fleet = new Fleet(journal, daemons)) {
                status = play.run(fleet, journal, trouble);
                if (System.getenv("KEEP_LOGS") != null) {
                    fleet.keepLogs(System.getenv("KEEP_LOGS"));
                }
            } catch (Exception exception) {
                journal.line("script", "could not run: " + exception);
                status = NOT_RUN;
            }
            journal.line("script", "exit " + status);
        } catch (Exception exception) {
            System.out.println("could not run: " + exception);
            status = NOT_RUN;
        }
        System.exit(status);
    }
}
