import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The primary of a database with few writes is replaced as planned, and some seconds later the next one as well. */
public final class SwitchoverOfQuietDatabase {
    private static final int TRANSACTION_CLIENTS = 6;

    private static volatile boolean stopping;

    private SwitchoverOfQuietDatabase() {}

    public static void main(String[] arguments) {
        Script.run(arguments[0], 3, SwitchoverOfQuietDatabase::play);
    }

    private static int play(Fleet fleet, Journal journal, boolean trouble) throws Exception {
        Set<String> succeeded = ConcurrentHashMap.newKeySet();
        for (int number = 0; number < 6; number++) {
            int client = number;
            Link.start("client", () -> runReads(fleet, client));
        }
        Group.sleep(5_000);
        if (trouble) {
            fleet.group.release(fleet.group.primary(), fleet.group.members.get(3));
        }
        Group.sleep(6_000);
        // Until now nobody wrote since the first replacement. Now transactions are open when the second one comes.
        for (int number = 0; number < TRANSACTION_CLIENTS; number++) {
            int client = number;
            Link.start("client", () -> runTransaction(fleet, client, succeeded));
        }
        if (trouble) {
            fleet.group.release(fleet.group.primary(), fleet.group.members.get(4));
        }
        Group.sleep(5_000);
        stopping = true;
        Group.sleep(1_000);
        return judge(fleet, journal, succeeded);
    }

    /** The rule ONE: a write is committed at the old primary after a promote took effect, and acknowledged. */
    private static int judge(Fleet fleet, Journal journal, Set<String> succeeded) {
        List<Group.Run> runs;
        int promotions;
        synchronized (fleet.group) {
            runs = List.copyOf(fleet.group.runs);
            promotions = fleet.group.led.size();
        }
        int broken = 0;
        for (Group.Run run : runs) {
            if (run.old() && run.text().equals("COMMIT") && succeeded.contains(run.id())) {
                broken++;
                journal.line(
                        "verdict",
                        "ONE broken: " + run.id() + " COMMIT by " + run.member() + " in old term " + run.term() + " at "
                                + run.at() + ", acknowledged");
            }
        }
        String summary = promotions + " promotions, " + succeeded.size() + " commits acknowledged, " + broken
                + " of them at an old primary";
        journal.line("verdict", summary);
        System.out.println(summary);
        return succeeded.isEmpty() ? Script.NOT_RUN : broken > 0 ? Script.BROKEN : Script.HELD;
    }

    private static void runReads(Fleet fleet, int client) {
        while (!stopping) {
            try (Caller caller = new Caller(
                    "r" + client, fleet.daemons.get(client % 3).frontend, "primary", Fleet.key(client), fleet.journal)) {
                while (!stopping) {
                    caller.run("READ s" + client);
                    Group.sleep(100);
                }
            } catch (IOException exception) {
                Group.sleep(200);
            }
        }
    }

    /** One transaction of eight writes with pauses, about three seconds long. */
    private static void runTransaction(Fleet fleet, int client, Set<String> succeeded) {
        Group.sleep(client * 250L);
        try (Caller caller = new Caller(
                "t" + client, fleet.daemons.get(client % 3).frontend, "primary", Fleet.key(client), fleet.journal)) {
            boolean open = caller.run("BEGIN").succeeded();
            for (int write = 0; open && write < 8; write++) {
                open = caller.run("WRITE t" + client + " " + Caller.nextId()).succeeded();
                Group.sleep(250);
            }
            Caller.Answer ended = caller.run(open ? "COMMIT" : "ROLLBACK");
            if (open && ended.succeeded()) {
                succeeded.add(ended.id());
            }
        } catch (IOException exception) {
            fleet.journal.line("t" + client, "ended: " + exception.getMessage());
        }
    }
}
