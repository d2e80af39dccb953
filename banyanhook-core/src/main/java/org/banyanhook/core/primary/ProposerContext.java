package org.banyanhook.core.primary;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableMap;
import java.util.Map;

/**
 * The rank and location of a proposer in the fleet.
 *
 * @param rank its rank for the database, 0 for the first to act
 * @param failureDomain the failure domain in which it runs
 * @param peers the failure domain of each other live entry VM, by the name of the entry VM
 */
public record ProposerContext(int rank, String failureDomain, Map<String, String> peers) {
    public ProposerContext {
        checkArgument(rank >= 0, "rank must not be negative, was %s", rank);
        peers = ImmutableMap.copyOf(peers);
    }

    /** Returns whether a live peer runs in another failure domain. */
    boolean hasPeersInOtherDomains() {
        return peers.values().stream().anyMatch(domain -> !domain.equals(failureDomain));
    }
}
