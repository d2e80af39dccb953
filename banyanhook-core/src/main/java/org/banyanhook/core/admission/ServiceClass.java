package org.banyanhook.core.admission;

/**
 * What decides the order of a waiting request besides its account.
 *
 * @param priority the priority; 0 is the highest
 * @param hasObjective whether the request has a latency objective; without one it is served in the order of arrival
 * @param latestStartNanos when the request has to start to be answered within its objective; 0 without an objective
 */
public record ServiceClass(int priority, boolean hasObjective, long latestStartNanos) {

    /** The class of all requests where the routes do not differ in priority. */
    public static final ServiceClass UNIFORM = new ServiceClass(0, false, 0);

    /** Creates the class of a request with a latency objective. */
    public static ServiceClass of(int priority, long latestStartNanos) {
        return new ServiceClass(priority, true, latestStartNanos);
    }

    /** Returns whether a request that starts now cannot be answered within its objective any more. */
    boolean isLate(long nowNanos) {
        return hasObjective && latestStartNanos - nowNanos < 0;
    }
}
