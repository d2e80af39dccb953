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
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.port.FleetRecord;
import org.banyanhook.gateway.port.MemberEntry;
import org.banyanhook.gateway.port.StoreLease;
import org.banyanhook.gateway.port.StoreRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class FleetDirectoryTest {

    private static final MemberEntry LEAVING_MEMBER = new MemberEntry(
            "a", "orders", InetSocketAddress.createUnresolved("unused", 1), "east", 2, true, false, 0, 1);

    private final DecisionLog log = new DecisionLog("vm", OutputStream.nullOutputStream(), System::nanoTime);
    private long nanos;
    private final TextRecordCodec codec = new TextRecordCodec();
    private final FleetDirectory directory =
            new FleetDirectory(codec, log, new MonotonicClock(() -> nanos, () -> nanos / 1_000_000));

    private int notifications;

    @AfterEach
    void closeLog() {
        log.close();
    }

    @Test
    void announcedPromotionAppliesBeforeItsRecordIsRead() {
        directory.apply(promotion("old", 3));
        directory.applyPromotion(new FleetRecord.Promotion("group", "new"), revision(9));
        assertThat(directory.recordedPrimary("group")).hasValue("new");
        assertThat(directory.promotionRevision("group")).isEqualTo(revision(9));
    }

    @Test
    void olderRecordThatArrivesLaterDoesNotReplaceAnAnnouncedPromotion() {
        directory.applyPromotion(new FleetRecord.Promotion("group", "new"), revision(9));
        directory.apply(promotion("old", 3));
        directory.replaceAll(List.of(promotion("old", 3)), revision(8));
        directory.replaceAll(List.of(), revision(8));
        assertThat(directory.recordedPrimary("group")).hasValue("new");
    }

    @Test
    void lateAnnouncementDoesNotReplaceANewerRecord() {
        directory.apply(promotion("newest", 12));
        directory.applyPromotion(new FleetRecord.Promotion("group", "new"), revision(9));
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
        directory.apply(new StoreRecord(TextRecordCodec.DAEMON_PREFIX + "vm-1", revision(5), null, StoreLease.NONE));
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
        StoreRecord odd = new StoreRecord("odd", revision(3), new byte[0], StoreLease.NONE);
        directory.addListener(() -> notifications++);
        directory.apply(List.of(odd, promotion("a", 4)));
        assertThat(directory.recordedPrimary("group")).hasValue("a");
        directory.replaceAll(List.of(odd, promotion("b", 5)), revision(5));
        assertThat(directory.recordedPrimary("group")).hasValue("b");
        assertThat(notifications).isEqualTo(2);
    }

    /** Pages are no snapshot, and a watch or an announcement may have told of a later change. */
    @Test
    void listingReadBeforeARemovalDoesNotBringTheMemberBack() {
        codec.prepare("member", new FleetRecord.Member(LEAVING_MEMBER));
        directory.apply(new StoreRecord("member", revision(5), new byte[0], StoreLease.NONE));
        assertThat(directory.members()).hasSize(1);
        directory.apply(new StoreRecord("member", revision(9), null, StoreLease.NONE));
        assertThat(directory.members()).isEmpty();
        directory.replaceAll(
                List.of(new StoreRecord("member", revision(5), new byte[0], StoreLease.NONE)), revision(7));
        directory.apply(new StoreRecord("member", revision(6), new byte[0], StoreLease.NONE));
        assertThat(directory.members()).isEmpty();
    }

    @Test
    void listingReadBeforeAKeyWasWithdrawnDoesNotGrantItAgain() {
        codec.prepare("configuration", new FleetRecord.Configuration(configuration(1, "key")));
        directory.apply(new StoreRecord("configuration", revision(5), new byte[0], StoreLease.NONE));
        assertThat(directory.accountOf("key")).isPresent();
        codec.prepare("configuration", new FleetRecord.Configuration(configuration(2, "other")));
        directory.apply(new StoreRecord("configuration", revision(9), new byte[0], StoreLease.NONE));
        assertThat(directory.accountOf("key")).isEmpty();
        codec.prepare("configuration", new FleetRecord.Configuration(configuration(1, "key")));
        directory.replaceAll(
                List.of(new StoreRecord("configuration", revision(5), new byte[0], StoreLease.NONE)), revision(7));
        directory.replaceAll(List.of(), revision(12));
        directory.apply(new StoreRecord("configuration", revision(13), new byte[0], StoreLease.NONE));
        assertThat(directory.accountOf("key")).isEmpty();
        assertThat(directory.configuration().version()).isEqualTo(2);
    }

    private static StoreRevision revision(long number) {
        return new StoreRevision(0, number);
    }

    private static SessionConfiguration configuration(long version, String key) {
        List<GrantedKey> keys = List.of(new GrantedKey(key, KeyHashes.hash(key)));
        return new SessionConfiguration(
                version, List.of(new ClientAccount("account", keys, 1, 1, 1)), Map.of(), Map.of(), Map.of(), 1_000);
    }

    private static StoreRecord daemon(String entryVm, long revision) {
        return new StoreRecord(
                TextRecordCodec.DAEMON_PREFIX + entryVm,
                revision(revision),
                "east".getBytes(StandardCharsets.UTF_8),
                new StoreLease(0, 7));
    }

    private static StoreRecord promotion(String member, long revision) {
        return new StoreRecord(
                TextRecordCodec.PROMOTION_PREFIX + "group",
                revision(revision),
                member.getBytes(StandardCharsets.UTF_8),
                StoreLease.NONE);
    }

    /**
     * Guards against a former primary that is used again because the copy names it, and against a write that can never
     * succeed because its condition is a revision of the lost era.
     */
    @Test
    void promotionLostWithTheStoreStaysKnown() {
        directory.replaceAll(List.of(promotion("old@1/0", 1, 40)), new StoreRevision(1, 40));
        directory.apply(promotion("new@1/0", 1, 57));
        directory.replaceAll(List.of(promotion("old@1/0", 2, 40)), new StoreRevision(2, 40));
        assertThat(directory.recordedPrimary("group")).hasValue("new");
        assertThat(directory.storedPromotionRevision("group")).isEqualTo(new StoreRevision(2, 40));
        assertThat(directory.lostPromotions(2))
                .containsExactly(new FleetRecord.Promotion("group", "new", new StoreRevision(1, 57)));
        directory.apply(promotion("new@1/57", 2, 44));
        assertThat(directory.promotionRevision("group")).isEqualTo(new StoreRevision(1, 57));
        assertThat(directory.lostPromotions(2)).isEmpty();
        directory.apply(promotion("third@2/0", 2, 50));
        assertThat(directory.recordedPrimary("group")).hasValue("third");
        directory.replaceAll(List.of(), new StoreRevision(3, 30));
        assertThat(directory.recordedPrimary("group")).hasValue("third");
        assertThat(directory.storedPromotionRevision("group")).isEqualTo(StoreRevision.NONE);
        assertThat(directory.lostPromotions(3)).hasSize(1);
    }

    /** Guards against records that are ignored because the copy's revisions are lower than those known before. */
    @Test
    void recordsOfANewEraApplyWithLowerRevisions() {
        codec.prepare("member", new FleetRecord.Member(LEAVING_MEMBER));
        directory.replaceAll(List.of(member(1, 90)), new StoreRevision(1, 90));
        directory.apply(new StoreRecord("member", new StoreRevision(1, 95), null, StoreLease.NONE));
        assertThat(directory.members()).isEmpty();
        directory.replaceAll(List.of(member(2, 20)), new StoreRevision(2, 30));
        assertThat(directory.members()).hasSize(1);
        directory.apply(new StoreRecord("member", new StoreRevision(1, 99), null, StoreLease.NONE));
        assertThat(directory.members()).hasSize(1);
    }

    /** Guards against a daemon that forgets the whole fleet because the copy is older than the entries. */
    @Test
    void membersAndDaemonsMissingInTheCopyAreKeptForAWhile() {
        codec.prepare(
                "member",
                new FleetRecord.Member(
                        new MemberEntry("a", "orders", LEAVING_MEMBER.address(), "east", 2, false, false, 0, 1)));
        directory.replaceAll(List.of(member(1, 90), daemon("vm-1", 91)), new StoreRevision(1, 91));
        directory.replaceAll(List.of(), new StoreRevision(2, 30));
        directory.tick();
        assertThat(directory.members()).hasSize(1);
        assertThat(directory.recentDaemons()).containsKey("vm-1");
        assertThat(directory.daemonLease("vm-1")).isEmpty();
    }

    /** Guards against a withdrawn key that the copy grants again, also after two restores. */
    @Test
    void keyWithdrawnSinceTheCopyStaysWithdrawn() {
        for (long era = 1; era <= 3; era++) {
            codec.prepare("configuration", new FleetRecord.Configuration(configuration(1, "key")));
            directory.replaceAll(List.of(record("configuration", era, 5)), new StoreRevision(era, 7));
            assertThat(directory.accountOf("key").isPresent()).isEqualTo(era == 1);
            codec.prepare("configuration", new FleetRecord.Configuration(configuration(2, "other")));
            directory.apply(record("configuration", era, 9));
            assertThat(directory.accountOf("key")).isEmpty();
        }
    }

    private static StoreRecord member(long era, long revision) {
        return record("member", era, revision);
    }

    private static StoreRecord record(String key, long era, long revision) {
        return new StoreRecord(key, new StoreRevision(era, revision), new byte[0], StoreLease.NONE);
    }

    private static StoreRecord promotion(String text, long era, long revision) {
        return new StoreRecord(
                TextRecordCodec.PROMOTION_PREFIX + "group",
                new StoreRevision(era, revision),
                text.getBytes(StandardCharsets.UTF_8),
                StoreLease.NONE);
    }

    /** Guards against a former primary, or a failure domain taken out, that is used because the copy is older. */
    @Test
    void olderStateOfTheCopyIsHeldBackUntilItIsWrittenAgain() {
        codec.prepare("member", new FleetRecord.Member(LEAVING_MEMBER));
        directory.replaceAll(List.of(member(1, 90), evacuation(1, 91)), new StoreRevision(1, 91));
        MemberEntry primary = new MemberEntry("a", "orders", LEAVING_MEMBER.address(), "east", 2, false, true, 0, 1);
        codec.prepare("member", new FleetRecord.Member(primary));
        directory.replaceAll(List.of(member(2, 20)), new StoreRevision(2, 30));
        assertThat(onlyMember()).isEqualTo(LEAVING_MEMBER);
        assertThat(directory.isEvacuated("west")).isTrue();
        nanos += FleetDirectory.ENDED_MEMBER_RETENTION_NANOS / 2;
        directory.replaceAll(List.of(member(2, 20)), new StoreRevision(2, 30));
        directory.apply(evacuation(2, 31));
        nanos += FleetDirectory.ENDED_MEMBER_RETENTION_NANOS / 2;
        directory.tick();
        assertThat(onlyMember()).isEqualTo(primary);
        assertThat(directory.isEvacuated("west")).isTrue();
        directory.apply(new StoreRecord(
                TextRecordCodec.EVACUATION_PREFIX + "west", new StoreRevision(2, 32), null, StoreLease.NONE));
        assertThat(directory.isEvacuated("west")).isFalse();
    }

    private MemberEntry onlyMember() {
        return directory.members().iterator().next().entry();
    }

    private static StoreRecord evacuation(long era, long revision) {
        return record(TextRecordCodec.EVACUATION_PREFIX + "west", era, revision);
    }
}
