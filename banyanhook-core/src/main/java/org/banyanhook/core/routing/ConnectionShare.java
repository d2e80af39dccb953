package org.banyanhook.core.routing;

import static com.google.common.base.Preconditions.checkArgument;

/** Divides the connections that the fleet may have to a member among the homes of its database. */
public final class ConnectionShare {

    /** One connection in this many is left to status reads and fences. */
    private static final int RESERVED_DIVISOR = 4;

    /** Of four connections to a member this many belong to the entry VMs of its own failure domain. */
    private static final int LOCAL_QUARTERS = 3;

    private static final int QUARTERS = 4;

    private ConnectionShare() {}

    /**
     * Computes how many connections an entry VM may keep to a member where no homes are chosen. Every entry VM needs
     * the primary; a replica is used mostly by those near it. In a fleet with more entry VMs than connections, the
     * primary's are kept by those near it as well, and the others open one for each use.
     *
     * @param connectionLimit how many connections the whole fleet may have to the member
     * @param primary whether the member is the primary
     * @param fleetEntryVms how many entry VMs the fleet has
     * @param nearbyEntryVms how many of them are in the member's failure domain, counting the one asked for, or 0 if it
     *     is not there itself
     * @return how many connections it may keep, 0 if none
     */
    public static int perEntryVm(int connectionLimit, boolean primary, int fleetEntryVms, int nearbyEntryVms) {
        checkArgument(fleetEntryVms > 0, "entryVms must be positive, was %s", fleetEntryVms);
        if (primary && connectionLimit >= fleetEntryVms) {
            return connectionLimit / fleetEntryVms;
        }
        return nearbyEntryVms == 0 ? 0 : connectionLimit * LOCAL_QUARTERS / QUARTERS / nearbyEntryVms;
    }

    /**
     * Computes the share of one home.
     *
     * @param connectionLimit how many connections the whole fleet may have to one member
     * @param homes how many homes the database has
     * @return how many connections one home may have to one member, at least 1
     */
    public static int perHome(int connectionLimit, int homes) {
        checkArgument(connectionLimit > 0, "connectionLimit must be positive, was %s", connectionLimit);
        checkArgument(homes > 0, "homes must be positive, was %s", homes);
        int usable = connectionLimit - connectionLimit / RESERVED_DIVISOR;
        return Math.max(1, usable / homes);
    }
}
