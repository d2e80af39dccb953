package org.banyanhook.gateway.primary;

import static com.google.common.truth.Truth.assertThat;

import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.gateway.GatewayFixture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class PromotionControllerTest {

    private final PromotionFixture promotions = new PromotionFixture();
    private final GatewayFixture gateway = promotions.gateway();
    private final PromotionController controller = promotions.newController();

    @BeforeEach
    void start() {
        gateway.list("a", true);
        gateway.list("b", false);
        promotions.members().set("a", true, 1, new LogPosition(1, 9));
        promotions.members().set("b", false, 1, new LogPosition(1, 9));
    }

    @AfterEach
    void close() {
        promotions.close();
    }

    /** Writes that wait for the successor timed out, since the periodic check came up to 200 ms later. */
    @Test
    void leavingPrimaryIsReplacedAtOnce() {
        gateway.listLeaving("a", true);
        gateway.advanceMillis(0);
        assertThat(promotions.members().stepDownTerms()).hasSize(1);
        assertThat(promotions.requests()).containsExactly("b");
    }

    @Test
    void primaryInADomainThatIsTakenOutIsReplacedAtOnce() {
        gateway.listIn("west", "b", false);
        gateway.takeOut("east");
        gateway.advanceMillis(0);
        assertThat(promotions.requests()).containsExactly("b");
    }

    /** The process ended in the middle, and its promotion lease kept the other daemons from replacing the primary. */
    @Test
    void daemonThatIsBeingStoppedStartsNoReplacement() {
        controller.stop();
        gateway.listLeaving("a", true);
        gateway.advanceMillis(0);
        controller.tick();
        gateway.advanceMillis(0);
        assertThat(promotions.members().stepDownTerms()).isEmpty();
        assertThat(promotions.requests()).isEmpty();
    }

    /** The replacement counted as running for ever, so that this daemon replaced the primary of the group no more. */
    @Test
    void replacementThatCouldNotBeStartedIsTriedAgain() {
        gateway.recordPromotion("b");
        assertThat(gateway.group().primary()).isEmpty();
        controller.tick();
        promotions.members().failToSend(true);
        gateway.advanceMillis(2_000);
        controller.tick();
        gateway.advanceMillis(0);
        promotions.members().failToSend(false);
        gateway.advanceMillis(500);
        controller.tick();
        gateway.advanceMillis(0);
        assertThat(promotions.requests()).containsExactly("b");
    }

    @Test
    void leavingReplicaIsNotReplaced() {
        gateway.listLeaving("b", false);
        gateway.advanceMillis(0);
        assertThat(promotions.members().stepDownTerms()).isEmpty();
    }
}
