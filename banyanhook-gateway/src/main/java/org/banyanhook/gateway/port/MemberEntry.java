package org.banyanhook.gateway.port;

import java.net.InetSocketAddress;

/**
 * The entry that a member publishes about itself.
 *
 * @param member the name of the member
 * @param group the database group that it belongs to
 * @param address the address at which it accepts connections
 * @param failureDomain the failure domain in which it runs
 * @param slots how many statements it runs at the same time
 * @param leaving whether it is about to stop and accepts no new requests
 * @param primary whether it reports to be the primary
 * @param warmUpMillis the remaining time of its warm-up, during which it is slow
 * @param startedAtMillis when it started, in milliseconds of the Unix epoch, or 0 if not reported; distinguishes a
 *     restarted member from its previous run
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
