package org.banyanhook.testbed.load;

import java.util.List;

/** Draws a series as lines of text. */
final class TextPlot {

    private static final int WIDTH = 60;

    private TextPlot() {}

    /**
     * Draws offered and successful requests of each second.
     *
     * @param offered offered requests
     * @param successes successful requests
     * @return one line for each second
     */
    static String draw(List<Long> offered, List<Long> successes) {
        long highest = Math.max(highest(offered), highest(successes));
        StringBuilder text = new StringBuilder("second  offered  succeeded\n");
        for (int second = 0; second < successes.size(); second++) {
            long success = successes.get(second);
            String bar = "#".repeat((int) (success * WIDTH / Math.max(1, highest)));
            text.append(String.format("%6d  %7d  %9d  %s%n", second, offered.get(second), success, bar));
        }
        return text.toString();
    }

    private static long highest(List<Long> values) {
        return values.stream().mapToLong(Long::longValue).max().orElse(0);
    }
}
