package org.banyanhook.daemon.configuration;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * Where the newest configuration and the newest withdrawals are not known to be in force.
 *
 * @param version the version in force on this entry VM
 * @param unconfirmedEntryVms entry VMs that have not confirmed the version and all withdrawals
 * @param unconfirmedFailureDomains failure domains where no entry VM has confirmed them
 */
public record PropagationReport(
        long version, List<String> unconfirmedEntryVms, List<String> unconfirmedFailureDomains) {
    public PropagationReport {
        unconfirmedEntryVms = ImmutableList.copyOf(unconfirmedEntryVms);
        unconfirmedFailureDomains = ImmutableList.copyOf(unconfirmedFailureDomains);
    }

    /** Returns whether the version and all withdrawals are in force everywhere. */
    public boolean isConfirmedEverywhere() {
        return unconfirmedEntryVms.isEmpty() && unconfirmedFailureDomains.isEmpty();
    }
}
