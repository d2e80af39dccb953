package org.banyanhook.core.configuration;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What this entry VM knows of the versions and withdrawals in force on others. Not safe for use by several threads.
 *
 * <p>The last word of an entry VM counts, as a restarted one starts anew.
 */
public final class PeerVersions {

    private final Map<String, PeerVersion> versions = new HashMap<>();

    /**
     * Takes note of what another entry VM said.
     *
     * @param entryVm its name
     * @param version the version in force there
     * @param withdrawalDigest the digest of the withdrawals in force there
     */
    public void recordVersion(String entryVm, long version, long withdrawalDigest) {
        versions.put(entryVm, new PeerVersion(version, withdrawalDigest));
    }

    /**
     * Forgets all entry VMs but those named.
     *
     * @param live the names of the live entry VMs
     */
    public void retainOnly(Collection<String> live) {
        versions.keySet().retainAll(live);
    }

    /**
     * Finds out where a version is not known to be in force.
     *
     * @param live the names of the live entry VMs
     * @param version the version
     * @return those that have not said that the version or a higher one is in force, in the order given
     */
    public List<String> findBelowVersion(Collection<String> live, long version) {
        return live.stream().filter(name -> versionOf(name) < version).collect(ImmutableList.toImmutableList());
    }

    /**
     * Finds out where withdrawals are not known to be in force.
     *
     * @param live the names of the live entry VMs
     * @param withdrawalDigest the digest of the withdrawals
     * @return those whose last digest differs, in the order given
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
