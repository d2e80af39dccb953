import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A zone is cut off from the other zones for five seconds, while clients, the store and the promotion address still
 * reach it. The primary is in that zone, and clients there have transactions open.
 */
public final class OpenTransactionAtOldPrimary {
    private static final long CUT_MILLIS = 5_000;
    /** The bound thaw_ms of the rules: commits over a link that was disrupted this recently are not counted. */
    private static final double THAW_SECONDS = 0.3;

    private static final int TRANSACTION_CLIENTS = 12;
    private static final int WRITES = 8;
    private static final long PAUSE_MILLIS = 550;

    private static volatile boolean stopping;

    private OpenTransactionAtOldPrimary() {}

    public static void main(String[] arguments) {
        Script.run(arguments[0], 3, OpenTransactionAtOldPrimary::play);
    }

    private static int play(Fleet fleet, Journal journal, boolean trouble) throws Exception {
        Set<String> succeeded = ConcurrentHashMap.newKeySet();
        for (int number = 0; number < TRANSACTION_CLIENTS; number++) {
            int client = number;
            Link.start("client", () -> runTransactions(fleet, client, succeeded));
        }
        for (int number = 0; number < 4; number++) {
            int client = number;
            Link.start("client", () -> runWrites(fleet, client, succeeded));
        }
        Group.sleep(8_000);
        if (fleet.group.primary() != fleet.group.members.get(0)) {
            journal.line("script", "could not run: the primary is not in zone-a");
            return Script.NOT_RUN;
        }
        double healed = 0;
        if (trouble) {
            journal.line("script", "cuts zone-a off from zone-b and zone-c");
            fleet.cutZone("zone-a", true);
            Group.sleep(CUT_MILLIS);
            fleet.cutZone("zone-a", false);
            healed = journal.seconds();
            journal.line("script", "ends the cut");
        } else {
            Group.sleep(CUT_MILLIS);
        }
        Group.sleep(6_000);
        stopping = true;
        Group.sleep(1_500);
        return judge(fleet, journal, succeeded, healed);
    }

    /** The rule ONE: a write is committed at the old primary after a promote took effect, and acknowledged. */
    private static int judge(Fleet fleet, Journal journal, Set<String> succeeded, double healed) {
        List<Group.Run> runs;
        int promotions;
        synchronized (fleet.group) {
            runs = List.copyOf(fleet.group.runs);
            promotions = fleet.group.led.size();
        }
        int broken = 0;
        int excused = 0;
        for (Group.Run run : runs) {
            boolean commits = run.text().equals("COMMIT") || (run.text().startsWith("WRITE") && run.state().equals("I"));
            if (run.old() && commits && succeeded.contains(run.id())) {
                boolean counts = run.at() > healed + THAW_SECONDS;
                broken += counts ? 1 : 0;
                excused += counts ? 0 : 1;
                journal.line(
                        "verdict",
                        (counts ? "ONE broken: " : "not counted (cut in the last 0.3 s): ") + run.id() + " " + run.text()
                                + " committed by " + run.member() + " in old term " + run.term() + " at " + run.at()
                                + ", acknowledged");
            }
        }
        long done = runs.stream().filter(run -> run.text().equals("COMMIT")).count();
        journal.line(
                "verdict",
                promotions + " promotions, " + done + " commits, " + broken + " break ONE, " + excused + " not counted");
        System.out.println(promotions + " promotions, " + done + " commits, " + broken + " break ONE, " + excused
                + " not counted");
        return done == 0 ? Script.NOT_RUN : broken > 0 ? Script.BROKEN : Script.HELD;
    }

    private static void runTransactions(Fleet fleet, int client, Set<String> succeeded) {
        Group.sleep(client * 400L);
        while (!stopping) {
            try (Caller caller = new Caller(
                    "tx-" + client, fleet.daemons.get(0).frontend, "primary", Fleet.KEY, fleet.journal)) {
                while (!stopping) {
                    boolean open = caller.run("BEGIN").succeeded();
                    for (int write = 0; open && write < WRITES; write++) {
                        open = caller.run("WRITE t" + client + " " + Caller.nextId()).succeeded();
                        Group.sleep(PAUSE_MILLIS);
                    }
                    Caller.Answer ended = caller.run(open ? "COMMIT" : "ROLLBACK");
                    if (open && ended.succeeded()) {
                        succeeded.add(ended.id());
                    }
                    Group.sleep(open ? 50 : 300);
                }
            } catch (IOException exception) {
                Group.sleep(200);
            }
        }
    }

    private static void runWrites(Fleet fleet, int client, Set<String> succeeded) {
        while (!stopping) {
            try (Caller caller = new Caller(
                    "write-" + client,
                    fleet.daemons.get(1 + client % 2).frontend,
                    "primary",
                    Fleet.KEY,
                    fleet.journal)) {
                while (!stopping) {
                    Caller.Answer answer = caller.run("WRITE w" + client + " " + Caller.nextId());
                    if (answer.succeeded()) {
                        succeeded.add(answer.id());
                    }
                    Group.sleep(150);
                }
            } catch (IOException exception) {
                Group.sleep(200);
            }
        }
    }
}
