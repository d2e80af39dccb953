package org.banyanhook.gateway.backend;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.banyanhook.core.admission.ServiceClass;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.gateway.message.SessionStatement.PreparedShape;
import org.jspecify.annotations.Nullable;

/** A request for a connection to a member, for a statement or a transaction. Used on the event loop only. */
public final class ConnectionRequest {

    private final String account;
    private final int weight;
    private final Requirements requirements;
    private final long arrivedNanos;
    private final long deadlineNanos;
    private final ConnectionRequestListener listener;
    private final Set<String> excluded = new HashSet<>();
    private int priority;
    private long targetLatencyNanos;
    private boolean heldInTime;
    private boolean cancelled;
    private boolean avoidsHomes;
    private Map<String, String> sessionVariables = Map.of();
    private @Nullable PreparedShape preparedStatement;

    /**
     * The requirements on the member.
     *
     * @param primaryOnly whether only the primary qualifies
     * @param maximumAgeNanos the maximum age of the data, where a replica qualifies
     * @param sessionMinimumPosition the log position that the session must see, or null for none
     * @param regions the regions whose members qualify; empty for all
     * @param member the only member that qualifies, whose log is compared with a position by the member itself; null if
     *     the member is to be chosen
     */
    public record Requirements(
            boolean primaryOnly,
            long maximumAgeNanos,
            @Nullable LogPosition sessionMinimumPosition,
            Set<String> regions,
            @Nullable String member) {
        public Requirements {
            regions = Set.copyOf(regions);
        }

        /** Creates the requirements of a request for which a member is to be chosen. */
        public Requirements(
                boolean primaryOnly,
                long maximumAgeNanos,
                @Nullable LogPosition sessionMinimumPosition,
                Set<String> regions) {
            this(primaryOnly, maximumAgeNanos, sessionMinimumPosition, regions, null);
        }

        /**
         * Creates the requirements of work that another daemon has assigned to a member.
         *
         * @param member the member
         * @param primaryOnly whether it has to be the primary
         */
        public static Requirements at(String member, boolean primaryOnly) {
            return new Requirements(primaryOnly, 0, null, Set.of(), member);
        }
    }

    /**
     * Creates a request.
     *
     * @param account the client account
     * @param weight the account's share of the queue
     * @param requirements the requirements on the member
     * @param arrivedNanos when the request of the caller arrived
     * @param deadlineNanos until when it may wait
     * @param listener receives the result
     */
    public ConnectionRequest(
            String account,
            int weight,
            Requirements requirements,
            long arrivedNanos,
            long deadlineNanos,
            ConnectionRequestListener listener) {
        this.account = account;
        this.weight = weight;
        this.requirements = requirements;
        this.arrivedNanos = arrivedNanos;
        this.deadlineNanos = deadlineNanos;
        this.listener = listener;
    }

    /** Excludes a member that could not run the statement. */
    public void exclude(String member) {
        excluded.add(member);
    }

    /** Makes the request use a connection of this daemon, because a home could not or must not run it. */
    public void avoidHomes() {
        avoidsHomes = true;
    }

    /**
     * Sets the session state that the work relies on. An idle connection that has it is preferred.
     *
     * @param variables the variables of the session
     * @param statement the prepared statement to run, or null
     */
    public void sessionState(Map<String, String> variables, @Nullable PreparedShape statement) {
        sessionVariables = variables;
        preparedStatement = statement;
    }

    boolean matchesSessionState(MemberConnection connection) {
        return connection.hasSessionState(sessionVariables, preparedStatement);
    }

    boolean avoidsHomes() {
        return avoidsHomes;
    }

    /** Returns whether another daemon has assigned the work to a member. */
    boolean isForOtherDaemon() {
        return requirements.member() != null;
    }

    /** Returns the priority of the route; 0 is the highest. */
    public int priority() {
        return priority;
    }

    /** Returns the latency objective of the route in nanoseconds, 0 for none. */
    public long targetLatencyNanos() {
        return targetLatencyNanos;
    }

    /**
     * Sets what decides the order of service where routes differ in priority.
     *
     * @param routePriority the priority of the route; 0 is the highest
     * @param targetNanos the latency objective of the route, 0 for none
     */
    public void objective(int routePriority, long targetNanos) {
        priority = routePriority;
        targetLatencyNanos = targetNanos;
    }

    /** Returns the class in the order of service, given how long a connection is used. */
    ServiceClass serviceClass(long expectedHoldNanos) {
        long dueNanos = targetLatencyNanos > 0 ? arrivedNanos + targetLatencyNanos : deadlineNanos;
        return ServiceClass.of(priority, dueNanos - expectedHoldNanos);
    }

    /** Sets whether it was held because an estimate said that it can be served in time. */
    void heldInTime(boolean value) {
        heldInTime = value;
    }

    boolean isHeldInTime() {
        return heldInTime;
    }

    /** Cancels the request; its listener is not called any more. */
    public void cancel() {
        cancelled = true;
    }

    boolean isCancelled() {
        return cancelled;
    }

    /** Returns the client account. */
    public String account() {
        return account;
    }

    /** Returns the account's share of the queue. */
    public int weight() {
        return weight;
    }

    Requirements requirements() {
        return requirements;
    }

    long arrivedNanos() {
        return arrivedNanos;
    }

    /** Returns until when it may wait. */
    public long deadlineNanos() {
        return deadlineNanos;
    }

    ConnectionRequestListener listener() {
        return listener;
    }

    boolean excludes(String member) {
        return excluded.contains(member);
    }
}
