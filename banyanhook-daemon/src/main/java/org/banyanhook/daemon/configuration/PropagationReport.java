package org.banyanhook.daemon.configuration;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * The entry VMs and failure domains on which the newest configuration and all withdrawals are not known to be in
 * effect.
 *
 * @param version the version in effect on this entry VM
 * @param unconfirmedEntryVms entry VMs that have not confirmed the version and all withdrawals
 * @param unconfirmedFailureDomains failure domains in which no entry VM has confirmed them
 */
public record PropagationReport(
        long version, List<String> unconfirmedEntryVms, List<String> unconfirmedFailureDomains) {
    public PropagationReport {
        unconfirmedEntryVms = ImmutableList.copyOf(unconfirmedEntryVms);
        unconfirmedFailureDomains = ImmutableList.copyOf(unconfirmedFailureDomains);
    }

    /** Returns whether all entry VMs and failure domains have confirmed the version and all withdrawals. */
    public boolean isConfirmedEverywhere() {
        return unconfirmedEntryVms.isEmpty() && unconfirmedFailureDomains.isEmpty();
    }
}
