package org.banyanhook.core.configuration;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;

/**
 * What one entry VM knows of the configuration: the newest version seen from anyone, and all withdrawals seen from
 * anyone. Neither ever goes back. Not safe for use by several threads.
 */
public final class ConfigurationState {

    private final Set<String> withdrawals = new HashSet<>();
    private FleetConfiguration document = FleetConfiguration.EMPTY;
    private FleetConfiguration effective = FleetConfiguration.EMPTY;
    private long withdrawalDigest;

    /**
     * Takes note of a document, from the platform or from a peer.
     *
     * @param received the document
     * @return what became of it
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
     * Takes note of withdrawn keys, from an operator or a peer.
     *
     * @param hashes the hashes of the keys
     * @return true if any of them was new
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

    /** Returns the newest document with all withdrawals known here. */
    public FleetConfiguration effective() {
        return effective;
    }

    /** Returns the highest version seen, 0 before the first document. */
    public long version() {
        return document.version();
    }

    /** Returns the withdrawn keys that the newest document does not hold yet. */
    public Set<String> unwrittenWithdrawals() {
        return ImmutableSet.copyOf(Sets.difference(withdrawals, document.withdrawnKeyHashes()));
    }

    /** Returns a number that differs, but for chance, between different sets of withdrawals. */
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
