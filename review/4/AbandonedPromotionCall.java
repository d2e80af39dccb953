import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The platform's promotion address is cut off for a while; meanwhile the primary is dark and comes back. */
public final class AbandonedPromotionCall {
    private static final long DARK_MILLIS = 5_500;
    private static final long CUT_MILLIS = 9_000;
    private static final long AFTER_CUT_MILLIS = 10_000;

    private static volatile boolean stopping;

    private AbandonedPromotionCall() {}

    public static void main(String[] arguments) {
        Script.run(arguments[0], 3, AbandonedPromotionCall::play);
    }

    private static int play(Fleet fleet, Journal journal, boolean trouble) throws Exception {
        Set<String> succeeded = ConcurrentHashMap.newKeySet();
        for (int number = 0; number < 12; number++) {
            int client = number;
            Link.start("client", () -> runWrites(fleet, client, succeeded));
        }
        Group.sleep(5_000);
        if (trouble) {
            disturb(fleet, journal);
        } else {
            Group.sleep(DARK_MILLIS + CUT_MILLIS);
        }
        Group.sleep(AFTER_CUT_MILLIS);
        stopping = true;
        Group.sleep(1_500);
        return judge(fleet, journal, succeeded);
    }

    private static void disturb(Fleet fleet, Journal journal) throws IOException {
        // A primary fails and is replaced, as on any day; the promotion call leaves a connection open.
        fleet.darkMember(0, true);
        Group.sleep(DARK_MILLIS);
        fleet.darkMember(0, false);
        Group.sleep(4_000);
        Group.Member primary = fleet.group.primary();
        if (fleet.promotions.isEmpty() || primary == fleet.group.members.get(0)) {
            throw new IOException("the failed primary was not replaced");
        }
        int number = fleet.group.members.indexOf(primary);
        journal.line("script", "cuts the promotion address off");
        fleet.daemons.forEach(daemon -> daemon.toAuthority.cut(true));
        fleet.darkMember(number, true);
        Group.sleep(DARK_MILLIS);
        fleet.darkMember(number, false);
        Group.sleep(CUT_MILLIS - DARK_MILLIS);
        journal.line("script", "ends the cut");
        fleet.daemons.forEach(daemon -> daemon.toAuthority.cut(false));
    }

    /** The rule ONE: a lower token than the platform has seen, or an acknowledged commit at the old primary. */
    private static int judge(Fleet fleet, Journal journal, Set<String> succeeded) {
        int lower = 0;
        List<Fleet.Promotion> promotions;
        synchronized (fleet.promotions) {
            promotions = List.copyOf(fleet.promotions);
        }
        Map<String, Long> seen = new HashMap<>();
        for (Fleet.Promotion promotion : promotions) {
            long before = seen.merge(Fleet.SERVICE, promotion.token(), Math::max);
            if (promotion.token() < before) {
                lower++;
                journal.line(
                        "verdict",
                        "ONE broken: " + promotion.holder() + " promoted " + promotion.member() + " with token "
                                + promotion.token() + " after the platform had seen " + before);
            }
        }
        List<Group.Run> runs;
        synchronized (fleet.group) {
            runs = List.copyOf(fleet.group.runs);
        }
        int old = 0;
        for (Group.Run run : runs) {
            if (run.old() && run.text().startsWith("WRITE") && succeeded.contains(run.id())) {
                old++;
                journal.line(
                        "verdict",
                        "ONE broken: " + run.id() + " " + run.text() + " committed by " + run.member() + " in old term "
                                + run.term() + " at " + run.at() + ", acknowledged");
            }
        }
        String summary = promotions.size() + " promotion calls, " + lower + " with a lower token; " + old
                + " acknowledged commits at an old primary";
        journal.line("verdict", summary);
        System.out.println(summary);
        return succeeded.isEmpty() ? Script.NOT_RUN : lower + old > 0 ? Script.BROKEN : Script.HELD;
    }

    private static void runWrites(Fleet fleet, int client, Set<String> succeeded) {
        while (!stopping) {
            try (Caller caller = new Caller(
                    "w" + client,
                    fleet.daemons.get(client % 3).frontend,
                    "primary",
                    Fleet.key(client % Fleet.TENANTS),
                    fleet.journal)) {
                while (!stopping) {
                    Caller.Answer answer = caller.run("WRITE w" + client + " " + Caller.nextId());
                    if (answer.succeeded()) {
                        succeeded.add(answer.id());
                    }
                    Group.sleep(120);
                }
            } catch (IOException exception) {
                Group.sleep(200);
            }
        }
    }
}
