package org.banyanhook.gateway.port;

import java.net.InetSocketAddress;

/**
 * What a member says of itself.
 *
 * @param member its name
 * @param group the database group that it belongs to
 * @param address where it takes connections
 * @param failureDomain where it runs
 * @param slots how many statements it runs at a time
 * @param leaving whether it is about to end and takes no new work
 * @param primary whether it takes itself for the primary
 * @param warmUpMillis how much longer it is slow after its start
 * @param startedAtMillis when it started, in milliseconds of the Unix epoch, 0 if it did not say; tells its lives apart
 */
public record MemberEntry(
        String member,
        String group,
        InetSocketAddress address,
        String failureDomain,
        int slots,
        boolean leaving,
        boolean primary,
        long warmUpMillis,
        long startedAtMillis) {}
