import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

/** Some of the open connections between a daemon and the primary go silent for good, while new ones work. */
public final class StatementInForeignTransaction {
    private static final int CLIENTS = 3 * Fleet.TENANTS;
    private static final double SILENT_SHARE = 0.5;

    private static final int TIMES = 20;
    private static final long PERIOD_MILLIS = 4_000;

    private static volatile boolean stopping;

    private StatementInForeignTransaction() {}

    public static void main(String[] arguments) {
        Script.run(arguments[0], 1, StatementInForeignTransaction::play);
    }

    private static int play(Fleet fleet, Journal journal, boolean trouble) throws Exception {
        // The client and number of the transaction that each statement was sent in.
        Map<String, String> transactions = new ConcurrentHashMap<>();
        Map<String, Boolean> answers = new ConcurrentHashMap<>();
        for (int number = 0; number < CLIENTS; number++) {
            int client = number;
            Link.start("client", () -> runTransactions(fleet, client, transactions, answers));
        }
        Group.sleep(6_000);
        for (int time = 0; time < TIMES; time++) {
            if (trouble) {
                int count = fleet.daemons.get(0).toMembers.get(0).silencePresent(SILENT_SHARE);
                journal.line("script", count + " connections between the daemon and the primary go silent");
            }
            Group.sleep(PERIOD_MILLIS);
        }
        stopping = true;
        Group.sleep(2_500);
        return judge(fleet, journal, transactions, answers);
    }

    /** The rule PINNED: a statement runs inside another client's transaction, or outside its own. */
    private static int judge(
            Fleet fleet, Journal journal, Map<String, String> transactions, Map<String, Boolean> answers) {
        List<Group.Run> runs;
        synchronized (fleet.group) {
            runs = List.copyOf(fleet.group.runs);
        }
        Map<String, String> owners = new HashMap<>();
        int foreign = 0;
        int outside = 0;
        for (Group.Run run : runs) {
            String sender = transactions.get(run.id());
            String place = run.member() + " conn " + run.connection() + " transaction " + run.transaction();
            String told = answers.containsKey(run.id()) ? ", answered with success" : "";
            if (!run.state().equals("T")) {
                outside++;
                journal.line(
                        "verdict",
                        "PINNED broken: " + run.id() + " " + run.text() + " of " + sender
                                + " ran outside its transaction on " + run.member() + " conn " + run.connection() + told);
                continue;
            }
            String owner = owners.putIfAbsent(place, sender);
            if (owner != null && !owner.equals(sender)) {
                foreign++;
                journal.line(
                        "verdict",
                        "PINNED broken: " + run.id() + " " + run.text() + " of " + sender + " ran inside " + owner + " on "
                                + place + told);
            }
        }
        String summary = runs.size() + " statements ran, " + outside + " outside their transaction, " + foreign
                + " inside another client's";
        journal.line("verdict", summary);
        System.out.println(summary);
        return runs.isEmpty() ? Script.NOT_RUN : outside + foreign > 0 ? Script.BROKEN : Script.HELD;
    }

    private static void runTransactions(
            Fleet fleet, int client, Map<String, String> transactions, Map<String, Boolean> answers) {
        Random random = new Random(client);
        int number = 0;
        while (!stopping) {
            try (Caller caller =
                    new Caller("c" + client, fleet.daemons.get(0).frontend, "primary", Fleet.key(client % Fleet.TENANTS), fleet.journal)) {
                while (!stopping) {
                    Group.sleep(random.nextInt(400));
                    String transaction = "c" + client + "/" + ++number;
                    caller.beforeRun(id -> transactions.put(id, transaction));
                    boolean open = caller.run("BEGIN").succeeded();
                    int writes = 2 + random.nextInt(4);
                    for (int write = 0; open && write < writes; write++) {
                        Group.sleep(50 + random.nextInt(200));
                        Caller.Answer answer = caller.run("WRITE c" + client + " " + Caller.nextId());
                        open = answer.succeeded();
                        if (open) {
                            answers.put(answer.id(), true);
                        }
                    }
                    Group.sleep(50 + random.nextInt(200));
                    Caller.Answer ended = caller.run(open ? "COMMIT" : "ROLLBACK");
                    if (ended.succeeded()) {
                        answers.put(ended.id(), true);
                    }
                    if (!caller.state.equals("I")) {
                        break;
                    }
                }
            } catch (IOException exception) {
                Group.sleep(200);
            }
        }
    }
}
