package org.banyanhook.gateway.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.banyanhook.core.configuration.ClientAccount;
import org.banyanhook.core.configuration.GrantedKey;
import org.banyanhook.core.configuration.SessionConfiguration;
import org.banyanhook.core.key.KeyHashes;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.port.FleetRecord;
import org.banyanhook.gateway.port.MemberEntry;
import org.banyanhook.gateway.port.StoreRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class FleetDirectoryTest {

    private static final MemberEntry LEAVING_MEMBER = new MemberEntry(
            "a", "orders", InetSocketAddress.createUnresolved("unused", 1), "east", 2, true, false, 0, 1);

    private final DecisionLog log = new DecisionLog("vm", OutputStream.nullOutputStream(), System::nanoTime);
    private final TextRecordCodec codec = new TextRecordCodec();
    private final FleetDirectory directory = new FleetDirectory(codec, log, MonotonicClock.ofSystem());

    private int notifications;

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

    /** In a large fleet, the entries of daemons are the most frequent changes. */
    @Test
    void entriesOfDaemonsAreAppliedWithoutNotifyingListeners() {
        directory.addListener(() -> notifications++);
        directory.apply(List.of(daemon("vm-1", 3), daemon("vm-2", 4)));
        assertThat(notifications).isEqualTo(0);
        assertThat(directory.daemons().keySet()).containsExactly("vm-1", "vm-2");
        assertThat(directory.daemonCount("east")).isEqualTo(2);
        assertThat(directory.recentFailureDomains()).containsExactly("vm-1", "east", "vm-2", "east");
        directory.apply(new StoreRecord(TextRecordCodec.DAEMON_PREFIX + "vm-1", 5, null, 0));
        assertThat(directory.daemonCount("east")).isEqualTo(1);
        assertThat(notifications).isEqualTo(0);
    }

    @Test
    void changesOfOnePageNotifyListenersOnce() {
        directory.addListener(() -> notifications++);
        directory.apply(List.of(daemon("vm-1", 3), promotion("a", 4), promotion("b", 5)));
        assertThat(notifications).isEqualTo(1);
        assertThat(directory.recordedPrimary("group")).hasValue("b");
    }

    /** The records after it on the same page are not sent again. */
    @Test
    void recordThatCannotBeAppliedDoesNotKeepOthersFromBeingApplied() {
        codec.failToDecode("odd");
        StoreRecord odd = new StoreRecord("odd", 3, new byte[0], 0);
        directory.addListener(() -> notifications++);
        directory.apply(List.of(odd, promotion("a", 4)));
        assertThat(directory.recordedPrimary("group")).hasValue("a");
        directory.replaceAll(List.of(odd, promotion("b", 5)), 5);
        assertThat(directory.recordedPrimary("group")).hasValue("b");
        assertThat(notifications).isEqualTo(2);
    }

    /** Pages are no snapshot, and a watch or an announcement may have told of a later change. */
    @Test
    void listingReadBeforeARemovalDoesNotBringTheMemberBack() {
        codec.prepare("member", new FleetRecord.Member(LEAVING_MEMBER));
        directory.apply(new StoreRecord("member", 5, new byte[0], 0));
        assertThat(directory.members()).hasSize(1);
        directory.apply(new StoreRecord("member", 9, null, 0));
        assertThat(directory.members()).isEmpty();
        directory.replaceAll(List.of(new StoreRecord("member", 5, new byte[0], 0)), 7);
        directory.apply(new StoreRecord("member", 6, new byte[0], 0));
        assertThat(directory.members()).isEmpty();
    }

    @Test
    void listingReadBeforeAKeyWasWithdrawnDoesNotGrantItAgain() {
        codec.prepare("configuration", new FleetRecord.Configuration(configuration(1, "key")));
        directory.apply(new StoreRecord("configuration", 5, new byte[0], 0));
        assertThat(directory.accountOf("key")).isPresent();
        codec.prepare("configuration", new FleetRecord.Configuration(configuration(2, "other")));
        directory.apply(new StoreRecord("configuration", 9, new byte[0], 0));
        assertThat(directory.accountOf("key")).isEmpty();
        codec.prepare("configuration", new FleetRecord.Configuration(configuration(1, "key")));
        directory.replaceAll(List.of(new StoreRecord("configuration", 5, new byte[0], 0)), 7);
        directory.replaceAll(List.of(), 12);
        directory.apply(new StoreRecord("configuration", 13, new byte[0], 0));
        assertThat(directory.accountOf("key")).isEmpty();
        assertThat(directory.configuration().version()).isEqualTo(2);
    }

    private static SessionConfiguration configuration(long version, String key) {
        List<GrantedKey> keys = List.of(new GrantedKey(key, KeyHashes.hash(key)));
        return new SessionConfiguration(
                version, List.of(new ClientAccount("account", keys, 1, 1, 1)), Map.of(), Map.of(), Map.of(), 1_000);
    }

    private static StoreRecord daemon(String entryVm, long revision) {
        return new StoreRecord(
                TextRecordCodec.DAEMON_PREFIX + entryVm, revision, "east".getBytes(StandardCharsets.UTF_8), 7);
    }

    private static StoreRecord promotion(String member, long revision) {
        return new StoreRecord(
                TextRecordCodec.PROMOTION_PREFIX + "group", revision, member.getBytes(StandardCharsets.UTF_8), 0);
    }
}
