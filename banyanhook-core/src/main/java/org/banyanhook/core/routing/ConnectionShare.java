package org.banyanhook.core.routing;

import static com.google.common.base.Preconditions.checkArgument;

/** Divides the connection limit of a member between the entry VMs of the fleet. */
public final class ConnectionShare {

    /** One in this many connections is reserved for status reads and fencing. */
    private static final int RESERVED_DIVISOR = 4;

    /** The number of quarters of the connections that belong to entry VMs in the member's own failure domain. */
    private static final int LOCAL_QUARTERS = 3;

    private static final int QUARTERS = 4;

    private ConnectionShare() {}

    /**
     * Computes the number of connections that an entry VM may keep to a member if the database has no homes. Every
     * entry VM needs the primary; a replica is used mostly by the entry VMs near it. In a fleet with more entry VMs
     * than connections, only the entry VMs near the primary keep connections to it, and the others open one for each
     * use.
     *
     * @param connectionLimit the maximum number of connections of the whole fleet to the member
     * @param primary whether the member is the primary
     * @param fleetEntryVms the number of entry VMs in the fleet
     * @param nearbyEntryVms the number of entry VMs in the member's failure domain if the entry VM is one of them, else
     *     0
     * @return the number of connections that the entry VM may keep, or 0
     */
    public static int perEntryVm(int connectionLimit, boolean primary, int fleetEntryVms, int nearbyEntryVms) {
        checkArgument(fleetEntryVms > 0, "fleetEntryVms must be positive, was %s", fleetEntryVms);
        if (primary && !fleetExceedsLimit(connectionLimit, fleetEntryVms)) {
            return connectionLimit / fleetEntryVms;
        }
        return nearbyEntryVms == 0 ? 0 : connectionLimit * LOCAL_QUARTERS / QUARTERS / nearbyEntryVms;
    }

    /**
     * Returns whether a fleet has more entry VMs than a member accepts connections, so that most of them open a
     * connection for each use and see few answers of the member.
     *
     * @param connectionLimit the maximum number of connections of the whole fleet to the member
     * @param fleetEntryVms the number of entry VMs in the fleet
     */
    public static boolean fleetExceedsLimit(int connectionLimit, int fleetEntryVms) {
        return connectionLimit < fleetEntryVms;
    }

    /**
     * Computes the number of connections of one home.
     *
     * @param connectionLimit the maximum number of connections of the whole fleet to one member
     * @param homes the number of homes of the database
     * @return the maximum number of connections of one home to one member, at least 1
     */
    public static int perHome(int connectionLimit, int homes) {
        checkArgument(connectionLimit > 0, "connectionLimit must be positive, was %s", connectionLimit);
        checkArgument(homes > 0, "homes must be positive, was %s", homes);
        int usable = connectionLimit - connectionLimit / RESERVED_DIVISOR;
        return Math.max(1, usable / homes);
    }
}
