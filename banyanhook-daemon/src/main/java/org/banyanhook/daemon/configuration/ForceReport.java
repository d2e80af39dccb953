package org.banyanhook.daemon.configuration;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * Where the newest configuration and the newest withdrawals are not known to be in force.
 *
 * @param version the version in force on this entry VM
 * @param entryVmsBehind entry VMs that have not confirmed the version and all withdrawals
 * @param failureDomainsBehind failure domains where no entry VM has confirmed them
 */
public record ForceReport(long version, List<String> entryVmsBehind, List<String> failureDomainsBehind) {
    public ForceReport {
        entryVmsBehind = ImmutableList.copyOf(entryVmsBehind);
        failureDomainsBehind = ImmutableList.copyOf(failureDomainsBehind);
    }

    /** Returns whether the version and all withdrawals are in force everywhere. */
    public boolean isEverywhere() {
        return entryVmsBehind.isEmpty() && failureDomainsBehind.isEmpty();
    }
}
