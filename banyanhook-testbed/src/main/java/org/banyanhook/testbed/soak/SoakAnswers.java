package org.banyanhook.testbed.soak;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import org.banyanhook.testbed.line.LineCaller;
import org.banyanhook.testbed.soak.SoakHistory.Outcome;

/** What the answers to statements tell a caller. */
final class SoakAnswers {

    /** Error codes that guarantee that the statement or transaction had no effect. */
    private static final Set<String> NO_EFFECT_ERROR_CODES =
            Set.of("BUSY", "ABORTED", "LAGGING", "READONLY", "MOVED", "MAXCONN", "NOAUTH", "NODB");

    private SoakAnswers() {}

    /** Runs a statement; a broken connection is an answer that ends with CLOSED. */
    static List<String> run(LineCaller session, String statement) {
        try {
            return session.run(statement);
        } catch (IOException exception) {
            return List.of("CLOSED " + exception.getMessage());
        }
    }

    static Outcome toOutcome(List<String> answer) {
        if (succeeded(answer)) {
            return Outcome.ACKNOWLEDGED;
        }
        String[] words = answer.isEmpty() ? new String[0] : answer.get(0).split(" ");
        boolean hasNoEffect = words.length > 1 && words[0].equals("ERROR") && NO_EFFECT_ERROR_CODES.contains(words[1]);
        return hasNoEffect ? Outcome.NOT_KEPT : Outcome.UNKNOWN;
    }

    static boolean succeeded(List<String> answer) {
        return answer.stream().anyMatch(line -> line.startsWith("COMPLETE ")) && isSessionReady(answer);
    }

    static boolean isSessionReady(List<String> answer) {
        return !answer.isEmpty() && answer.get(answer.size() - 1).startsWith("READY");
    }

    /** Returns whether the connection ended before the answer was complete. */
    static boolean isCut(List<String> answer) {
        return answer.isEmpty() || answer.get(answer.size() - 1).startsWith("CLOSED");
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
