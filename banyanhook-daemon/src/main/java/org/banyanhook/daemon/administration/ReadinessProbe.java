package org.banyanhook.daemon.administration;

import java.util.List;

/** Readiness check of this daemon. Implementations must be safe for use by several threads and not block. */
@FunctionalInterface
public interface ReadinessProbe {
    /** Returns the reasons why the daemon is not ready, one sentence each; empty if it is ready. */
    List<String> obstacles();
}
