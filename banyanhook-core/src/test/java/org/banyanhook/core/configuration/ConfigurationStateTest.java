package org.banyanhook.core.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ConfigurationStateTest {

    private final ConfigurationState state = new ConfigurationState();

    @Test
    void neverGoesBelowTheHighestVersionSeen() {
        assertThat(state.observeDocument(document(3))).isEqualTo(DocumentDecision.ADOPTED);
        assertThat(state.observeDocument(document(3))).isEqualTo(DocumentDecision.KNOWN);
        assertThat(state.observeDocument(document(2))).isEqualTo(DocumentDecision.OLDER);
        assertThat(state.version()).isEqualTo(3);
    }

    @Test
    void keepsTheFirstOfTwoDocumentsOfOneVersion() {
        state.observeDocument(document(3));
        FleetConfiguration other =
                document(3).toBuilder().drainedEntryVms(Set.of("e1")).build();

        assertThat(state.observeDocument(other)).isEqualTo(DocumentDecision.DIFFERENT_CONTENT);
        assertThat(state.effective().drainedEntryVms()).isEmpty();
    }

    @Test
    void keepsEveryWithdrawalSeenFromAnyone() {
        state.observeDocument(document(3, "h1"));
        assertThat(state.observeWithdrawals(Set.of("h2"))).isTrue();
        assertThat(state.observeWithdrawals(Set.of("h1", "h2"))).isFalse();
        assertThat(state.observeDocument(document(2, "h3"))).isEqualTo(DocumentDecision.OLDER_WITH_NEW_WITHDRAWALS);
        assertThat(state.unwrittenWithdrawals()).containsExactly("h2", "h3");

        state.observeDocument(document(4, "h2"));

        assertThat(state.effective().withdrawnKeyHashes()).containsExactly("h1", "h2", "h3");
        assertThat(state.unwrittenWithdrawals()).containsExactly("h1", "h3");
    }

    @Test
    void digestsWithdrawalsWhateverTheirOrder() {
        ConfigurationState other = new ConfigurationState();
        state.observeWithdrawals(Set.of("h1"));
        other.observeWithdrawals(Set.of("h2"));
        assertThat(state.withdrawalDigest()).isNotEqualTo(other.withdrawalDigest());

        state.observeWithdrawals(Set.of("h2"));
        other.observeDocument(document(1, "h1"));

        assertThat(state.withdrawalDigest()).isEqualTo(other.withdrawalDigest());
    }

    @Test
    void knowsWhereAVersionIsNotInForce() {
        PeerVersions peers = new PeerVersions();
        List<String> live = List.of("e1", "e2", "e3");
        peers.note("e1", 5, 7);
        peers.note("e2", 4, 7);
        assertThat(peers.withoutVersion(live, 5)).containsExactly("e2", "e3").inOrder();
        assertThat(peers.withoutWithdrawals(live, 7)).containsExactly("e3");

        peers.note("e1", 3, 6);
        peers.retain(Set.of("e1"));

        assertThat(peers.withoutVersion(live, 4)).containsExactly("e1", "e2", "e3");
        assertThat(peers.withoutWithdrawals(live, 7)).containsExactly("e1", "e2", "e3");
    }

    private static FleetConfiguration document(long version, String... withdrawn) {
        return new FleetConfiguration(
                version, List.of(), List.of(), List.of(), Set.of(withdrawn), List.of(), List.of());
    }
}
