package org.banyanhook.core.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against configurations that return to an older version and against lost withdrawals. */
class ConfigurationStateTest {

    private final ConfigurationState state = new ConfigurationState();

    @Test
    void versionNeverDecreases() {
        assertThat(state.recordDocument(document(3))).isEqualTo(DocumentDecision.ADOPTED);
        assertThat(state.recordDocument(document(3))).isEqualTo(DocumentDecision.KNOWN);
        assertThat(state.recordDocument(document(2))).isEqualTo(DocumentDecision.OLDER);
        assertThat(state.version()).isEqualTo(3);
    }

    @Test
    void keepsTheFirstOfTwoDocumentsOfOneVersion() {
        state.recordDocument(document(3));
        FleetConfiguration other =
                document(3).toBuilder().drainedEntryVms(Set.of("e1")).build();

        assertThat(state.recordDocument(other)).isEqualTo(DocumentDecision.DIFFERENT_CONTENT);
        assertThat(state.effective().drainedEntryVms()).isEmpty();
    }

    @Test
    void keepsWithdrawalsFromEverySource() {
        state.recordDocument(document(3, "h1"));
        assertThat(state.recordWithdrawals(Set.of("h2"))).isTrue();
        assertThat(state.recordWithdrawals(Set.of("h1", "h2"))).isFalse();
        assertThat(state.recordDocument(document(2, "h3"))).isEqualTo(DocumentDecision.OLDER_WITH_NEW_WITHDRAWALS);
        assertThat(state.unwrittenWithdrawals()).containsExactly("h2", "h3");

        state.recordDocument(document(4, "h2"));

        assertThat(state.effective().withdrawnKeyHashes()).containsExactly("h1", "h2", "h3");
        assertThat(state.unwrittenWithdrawals()).containsExactly("h1", "h3");
    }

    @Test
    void withdrawalDigestDoesNotDependOnOrder() {
        ConfigurationState other = new ConfigurationState();
        state.recordWithdrawals(Set.of("h1"));
        other.recordWithdrawals(Set.of("h2"));
        assertThat(state.withdrawalDigest()).isNotEqualTo(other.withdrawalDigest());

        state.recordWithdrawals(Set.of("h2"));
        other.recordDocument(document(1, "h1"));

        assertThat(state.withdrawalDigest()).isEqualTo(other.withdrawalDigest());
    }

    @Test
    void listsEntryVmsWhereAVersionIsNotInForce() {
        PeerVersions peers = new PeerVersions();
        List<String> live = List.of("e1", "e2", "e3");
        peers.recordVersion("e1", 5, 7);
        peers.recordVersion("e2", 4, 7);
        assertThat(peers.findBelowVersion(live, 5)).containsExactly("e2", "e3").inOrder();
        assertThat(peers.findWithOtherWithdrawals(live, 7)).containsExactly("e3");

        peers.recordVersion("e1", 3, 6);
        peers.retainOnly(Set.of("e1"));

        assertThat(peers.findBelowVersion(live, 4)).containsExactly("e1", "e2", "e3");
        assertThat(peers.findWithOtherWithdrawals(live, 7)).containsExactly("e1", "e2", "e3");
    }

    private static FleetConfiguration document(long version, String... withdrawn) {
        return new FleetConfiguration(
                version, List.of(), List.of(), List.of(), Set.of(withdrawn), List.of(), List.of());
    }
}
