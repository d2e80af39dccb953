package org.banyanhook.testbed.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.banyanhook.testbed.fleet.FleetMember;
import org.banyanhook.testbed.fleet.LocalFleet;

/** Compares the logs of the primaries with what was acknowledged. */
final class LogChecker {

    private LogChecker() {}

    /**
     * What the logs hold.
     *
     * @param acknowledgedWrites how many writes were acknowledged
     * @param lostWrites how many of them are in no log of a primary
     * @param repeatedWrites how many idempotency keys are in a log twice
     */
    record Result(int acknowledgedWrites, long lostWrites, long repeatedWrites) {}

    static Result check(LocalFleet fleet, Set<String> acknowledgedKeys) {
        Map<String, Integer> found = new HashMap<>();
        for (String database : fleet.scenario().databases()) {
            fleet.primary(database).ifPresent(primary -> count(fleet, primary, found));
        }
        long lost =
                acknowledgedKeys.stream().filter(key -> !found.containsKey(key)).count();
        long repeated = found.values().stream().filter(times -> times > 1).count();
        return new Result(acknowledgedKeys.size(), lost, repeated);
    }

    private static void count(LocalFleet fleet, FleetMember primary, Map<String, Integer> found) {
        JsonNode log = fleet.client()
                .await(primary.directAddress(), "GET", "/stand-in/log", null)
                .body();
        for (JsonNode entry : log) {
            if (entry.has("idempotencyKey")) {
                String key = entry.path("account").asText() + "/"
                        + entry.path("idempotencyKey").asText();
                found.merge(key, 1, Integer::sum);
            }
        }
    }
}
