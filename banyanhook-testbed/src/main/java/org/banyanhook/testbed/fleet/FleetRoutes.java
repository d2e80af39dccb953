package org.banyanhook.testbed.fleet;

/** The names of the routes that a fleet declares. */
public final class FleetRoutes {

    /** Reads that accept the age of the scenario. */
    public static final String READ = "read";

    /** Reads that must be current, served by the primary. */
    public static final String CURRENT_READ = "current-read";

    /** Writes that may be repeated. */
    public static final String WRITE = "write";

    /** Writes that run at most once, under an idempotency key. */
    public static final String ONCE = "write-once";

    /** Reads that need no key. */
    public static final String OPEN_READ = "open-read";

    private FleetRoutes() {}
}
