package org.banyanhook.core.configuration;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The configuration versions and withdrawals in force on other entry VMs, as they last reported them. Not thread-safe.
 *
 * <p>A report replaces the previous report of the same entry VM, even if its version is lower, because a restarted
 * entry VM starts without a configuration.
 */
public final class PeerVersions {

    private final Map<String, PeerVersion> versions = new HashMap<>();

    /**
     * Records a report of another entry VM.
     *
     * @param entryVm the name of the entry VM
     * @param version the version in force there
     * @param withdrawalDigest the digest of the withdrawals in force there
     */
    public void recordVersion(String entryVm, long version, long withdrawalDigest) {
        versions.put(entryVm, new PeerVersion(version, withdrawalDigest));
    }

    /**
     * Removes the reports of all entry VMs that are not live.
     *
     * @param live the names of the live entry VMs
     */
    public void retainOnly(Collection<String> live) {
        versions.keySet().retainAll(live);
    }

    /**
     * Finds the entry VMs on which a version is not known to be in force.
     *
     * @param live the names of the live entry VMs
     * @param version the version
     * @return the entry VMs that have not reported that version or a higher one, in the order given
     */
    public List<String> findBelowVersion(Collection<String> live, long version) {
        return live.stream().filter(name -> versionOf(name) < version).collect(ImmutableList.toImmutableList());
    }

    /**
     * Finds the entry VMs on which a set of withdrawals is not known to be in force.
     *
     * @param live the names of the live entry VMs
     * @param withdrawalDigest the digest of the withdrawals
     * @return the entry VMs without a report or whose last reported digest differs, in the order given
     */
    public List<String> findWithOtherWithdrawals(Collection<String> live, long withdrawalDigest) {
        return live.stream()
                .filter(name -> !hasWithdrawals(name, withdrawalDigest))
                .collect(ImmutableList.toImmutableList());
    }

    private long versionOf(String entryVm) {
        PeerVersion recorded = versions.get(entryVm);
        return recorded == null ? 0 : recorded.version();
    }

    private boolean hasWithdrawals(String entryVm, long withdrawalDigest) {
        PeerVersion recorded = versions.get(entryVm);
        return recorded != null && recorded.withdrawalDigest() == withdrawalDigest;
    }

    private record PeerVersion(long version, long withdrawalDigest) {}
}
