package org.banyanhook.gateway.primary;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.gateway.GatewayFixture;
import org.banyanhook.gateway.fleet.StoreContact;
import org.banyanhook.gateway.fleet.StoreEras;
import org.banyanhook.gateway.fleet.TextRecordCodec;
import org.banyanhook.gateway.port.StoreLease;
import org.banyanhook.gateway.port.StoreRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class StoreOrQuorumPolicyTest {

    private final GatewayFixture gateway = new GatewayFixture();
    private final StoreEras eras = new StoreEras(gateway.log());
    private final PeerVoteExchange voteExchange = new PeerVoteExchange(
            "vm",
            new NoPeers(),
            gateway.directory(),
            gateway.recordCodec(),
            eras,
            gateway.eventLoop(),
            gateway.clock(),
            new FixedStoreProgress());
    private long sinceContactNanos;
    private final StoreOrQuorumPolicy policy = new StoreOrQuorumPolicy(
            () -> sinceContactNanos,
            () -> StoreContact.MEASURED,
            voteExchange,
            gateway.clock(),
            gateway.eventLoop(),
            gateway.log());

    @BeforeEach
    void listDaemon() {
        gateway.listDaemon();
        recordVoters("1;vm", 20);
    }

    @AfterEach
    void close() {
        gateway.close();
    }

    /** Guards against connections to all primaries that are closed by each restore. */
    @Test
    void contactThatWasNotLostOutlastsARestore() {
        policy.onStoreRestored();
        assertThat(policy.mayUsePrimary(GatewayFixture.GROUP)).isTrue();
    }

    /** Guards against the use of a primary whose replacement the copy lacks, by a daemon that was cut off meanwhile. */
    @Test
    void daemonThatWasOutOfContactAsksTheVotersFirst() {
        loseContactOverRestore();
        assertThat(policy.mayUsePrimary(GatewayFixture.GROUP)).isFalse();
        tick();
        assertThat(policy.mayUsePrimary(GatewayFixture.GROUP)).isTrue();
    }

    /** Guards against a daemon that uses no primary any more because it reaches the store but no majority. */
    @Test
    void waitForVotersThatDoNotAnswerEnds() {
        recordVoters("2;vm,vm-2", 900);
        loseContactOverRestore();
        tick();
        assertThat(policy.mayUsePrimary(GatewayFixture.GROUP)).isFalse();
        gateway.advanceMillis(10_000);
        tick();
        assertThat(policy.mayUsePrimary(GatewayFixture.GROUP)).isTrue();
    }

    private void recordVoters(String text, long revision) {
        gateway.directory()
                .apply(new StoreRecord(
                        TextRecordCodec.VOTERS_KEY,
                        new StoreRevision(0, revision),
                        text.getBytes(UTF_8),
                        StoreLease.NONE));
    }

    private void loseContactOverRestore() {
        sinceContactNanos = Long.MAX_VALUE / 2;
        policy.onStoreRestored();
        sinceContactNanos = 0;
    }

    private void tick() {
        gateway.advanceMillis(400);
        policy.tick();
        gateway.advanceMillis(1);
    }
}
