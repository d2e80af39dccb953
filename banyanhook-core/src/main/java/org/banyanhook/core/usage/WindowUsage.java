package org.banyanhook.core.usage;

import com.google.common.collect.ImmutableMap;
import java.util.Map;

/**
 * The requests that one daemon counted in a window.
 *
 * @param window the window
 * @param counts the number of requests, by client account
 * @param complete whether the daemon has run in the window and counts nothing more in it
 * @param version changes whenever one of the other fields does
 */
public record WindowUsage(long window, Map<String, Long> counts, boolean complete, long version) {
    public WindowUsage {
        counts = ImmutableMap.copyOf(counts);
    }
}
