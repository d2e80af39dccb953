package org.banyanhook.core.configuration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A failure domain of the fleet.
 *
 * @param name the name of the failure domain
 * @param region the region of the failure domain
 * @param rateShare the fraction of every account's rate and burst that is assigned to its entry VMs, from 0 to 1
 * @param takenOut true while operators have taken it out of service
 */
public record FailureDomain(String name, String region, double rateShare, boolean takenOut) {
    public FailureDomain {
        checkArgument(rateShare >= 0 && rateShare <= 1, "rateShare of %s must be from 0 to 1", name);
    }
}
