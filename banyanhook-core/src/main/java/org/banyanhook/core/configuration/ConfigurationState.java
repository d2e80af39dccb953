package org.banyanhook.core.configuration;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;

/**
 * The configuration known to one entry VM: the newest version and all withdrawals that were received from any source.
 * The version never decreases, and withdrawals are never removed. Not thread-safe.
 */
public final class ConfigurationState {

    private final Set<String> withdrawals = new HashSet<>();
    private FleetConfiguration document = FleetConfiguration.EMPTY;
    private FleetConfiguration effective = FleetConfiguration.EMPTY;
    private long withdrawalDigest;

    /**
     * Records a document received from the platform or from a peer.
     *
     * @param received the received document
     * @return the decision on the document
     */
    public DocumentDecision recordDocument(FleetConfiguration received) {
        boolean newWithdrawals = recordWithdrawals(received.withdrawnKeyHashes());
        if (received.version() < document.version()) {
            return newWithdrawals ? DocumentDecision.OLDER_WITH_NEW_WITHDRAWALS : DocumentDecision.OLDER;
        }
        if (received.version() == document.version()) {
            return sameContent(received) ? DocumentDecision.KNOWN : DocumentDecision.DIFFERENT_CONTENT;
        }
        document = received;
        updateEffective();
        return DocumentDecision.ADOPTED;
    }

    /**
     * Records withdrawn keys received from an operator or a peer.
     *
     * @param hashes the hashes of the keys
     * @return true if at least one of them was new
     */
    public boolean recordWithdrawals(Set<String> hashes) {
        boolean changed = false;
        for (String hash : hashes) {
            if (withdrawals.add(hash)) {
                withdrawalDigest ^= digestOf(hash);
                changed = true;
            }
        }
        if (changed) {
            updateEffective();
        }
        return changed;
    }

    /** Returns the newest document with all known withdrawals. */
    public FleetConfiguration effective() {
        return effective;
    }

    /** Returns the highest version received, 0 before the first document. */
    public long version() {
        return document.version();
    }

    /** Returns the withdrawn keys that the newest document does not contain. */
    public Set<String> unwrittenWithdrawals() {
        return ImmutableSet.copyOf(Sets.difference(withdrawals, document.withdrawnKeyHashes()));
    }

    /** Returns a hash of the set of withdrawals; different sets have different hashes except for collisions. */
    public long withdrawalDigest() {
        return withdrawalDigest;
    }

    private boolean sameContent(FleetConfiguration received) {
        return received.equals(document);
    }

    private void updateEffective() {
        effective = document.toBuilder().withdrawnKeyHashes(withdrawals).build();
    }

    private static long digestOf(String hash) {
        return Hashing.sipHash24().hashString(hash, StandardCharsets.UTF_8).asLong();
    }
}
