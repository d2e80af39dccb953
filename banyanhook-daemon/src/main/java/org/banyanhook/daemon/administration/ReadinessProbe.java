package org.banyanhook.daemon.administration;

import java.util.List;

/** Tells whether this daemon is ready for callers. Must be safe for use by several threads and not block. */
@FunctionalInterface
public interface ReadinessProbe {
    /** Returns what keeps the daemon from being ready, one sentence each; empty if it is ready. */
    List<String> obstacles();
}
