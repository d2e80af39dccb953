package org.banyanhook.core.scheduling;

import java.util.ArrayList;
import java.util.List;

/** Selects the daemons that receive a report in a round, so that each receives one within a few rounds. */
public final class ReportTargets {

    /** The number of rounds within which every daemon is selected, if there are no more than the maximum allows. */
    public static final int ROUNDS = 5;

    /** Bounds the messages of a round; a failure domain of 20 daemons needs 4. */
    static final int MAXIMUM_TARGETS = 4;

    private ReportTargets() {}

    /**
     * Selects the targets of a round.
     *
     * @param neighbours the other daemons, in an order that is the same in each round
     * @param round the number of the round
     * @return the daemons that receive the report
     */
    public static List<String> select(List<String> neighbours, int round) {
        int count = Math.min(MAXIMUM_TARGETS, (neighbours.size() + ROUNDS - 1) / ROUNDS);
        List<String> targets = new ArrayList<>(count);
        for (int index = 0; index < count; index++) {
            targets.add(neighbours.get((int) Math.floorMod((long) round * count + index, neighbours.size())));
        }
        return targets;
    }
}
