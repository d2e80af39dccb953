package org.banyanhook.core.routing;

import static com.google.common.base.Preconditions.checkArgument;

/** Divides the connections that the fleet may have to a member among the homes of its database. */
public final class ConnectionShare {

    /** One connection in this many is left to status reads and fences. */
    private static final int RESERVED_DIVISOR = 4;

    private ConnectionShare() {}

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
