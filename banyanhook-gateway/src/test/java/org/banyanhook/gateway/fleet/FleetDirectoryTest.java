package org.banyanhook.gateway.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.port.FleetRecord;
import org.banyanhook.gateway.port.StoreRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class FleetDirectoryTest {

    private final DecisionLog log = new DecisionLog("vm", OutputStream.nullOutputStream(), System::nanoTime);
    private final FleetDirectory directory = new FleetDirectory(new TextRecordCodec(), log, MonotonicClock.ofSystem());

    @AfterEach
    void closeLog() {
        log.close();
    }

    @Test
    void announcedPromotionAppliesBeforeItsRecordIsRead() {
        directory.apply(promotion("old", 3));
        directory.applyPromotion(new FleetRecord.Promotion("group", "new"), 9);
        assertThat(directory.recordedPrimary("group")).hasValue("new");
        assertThat(directory.promotionRevision("group")).isEqualTo(9);
    }

    @Test
    void olderRecordThatArrivesLaterDoesNotReplaceAnAnnouncedPromotion() {
        directory.applyPromotion(new FleetRecord.Promotion("group", "new"), 9);
        directory.apply(promotion("old", 3));
        directory.replaceAll(List.of(promotion("old", 3)), 8);
        directory.replaceAll(List.of(), 8);
        assertThat(directory.recordedPrimary("group")).hasValue("new");
    }

    @Test
    void lateAnnouncementDoesNotReplaceANewerRecord() {
        directory.apply(promotion("newest", 12));
        directory.applyPromotion(new FleetRecord.Promotion("group", "new"), 9);
        assertThat(directory.recordedPrimary("group")).hasValue("newest");
    }

    private static StoreRecord promotion(String member, long revision) {
        return new StoreRecord(
                TextRecordCodec.PROMOTION_PREFIX + "group", revision, member.getBytes(StandardCharsets.UTF_8), 0);
    }
}
