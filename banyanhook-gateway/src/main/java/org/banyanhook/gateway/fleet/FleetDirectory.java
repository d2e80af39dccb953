package org.banyanhook.gateway.fleet;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.configuration.ClientAccount;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.configuration.SessionConfiguration;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.key.KeyRegistry;
import org.banyanhook.core.primary.UnresolvedPromotions.RecordedPromotion;
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.port.DaemonEntry;
import org.banyanhook.gateway.port.FleetRecord;
import org.banyanhook.gateway.port.FleetRecordCodec;
import org.banyanhook.gateway.port.MemberEntry;
import org.banyanhook.gateway.port.StoreLease;
import org.banyanhook.gateway.port.StoreRecord;
import org.jspecify.annotations.Nullable;

/**
 * The state of the fleet according to the store. The newest revision of each record applies, in whatever order the
 * changes arrive. Used on the event loop only.
 */
public final class FleetDirectory {

    /**
     * How long a member is still used after its entry ended. Entries expire while the store is unavailable and reappear
     * within two seconds of its return if the member is running.
     */
    static final long ENDED_MEMBER_RETENTION_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    private final FleetRecordCodec recordCodec;
    private final DecisionLog log;
    private final MonotonicClock clock;
    private final List<FleetListener> listeners = new ArrayList<>();
    private final Map<String, StoreRevision> revisions = new HashMap<>();
    private final Map<String, FleetRecord> recordsByKey = new HashMap<>();
    private final Map<String, MemberRecord> members = new HashMap<>();
    private final Map<String, Long> memberRemovalNanos = new HashMap<>();
    private final KnownDaemons daemons = new KnownDaemons();
    private final HeldBackChanges heldBack = new HeldBackChanges();
    private final RecordedPromotions promotions = new RecordedPromotions();
    private final RecordedVoters voters = new RecordedVoters();
    private final Map<String, HeldPromotionLease> promotionLeases = new HashMap<>();
    private final Map<String, Long> takenOutSinceNanos = new HashMap<>();
    private @Nullable HeldDuty usageDuty;
    private ByteString usageDecisions = ByteString.EMPTY;
    private SessionConfiguration configuration = SessionConfiguration.EMPTY;
    private long configurationAppliedNanos;
    private KeyRegistry keys = KeyRegistry.of(FleetConfiguration.EMPTY);

    /**
     * A duty that a daemon holds.
     *
     * @param entryVm the entry VM whose daemon holds it
     * @param lease the lease of its record, which changes whenever the duty is taken
     */
    public record HeldDuty(String entryVm, StoreLease lease) {}

    private record HeldPromotionLease(String entryVm, StoreLease lease) {}

    /**
     * A member's entry, with the revision of its report to be primary.
     *
     * @param entry the member's own entry
     * @param primarySinceRevision the revision at which it began to report that it is the primary, or none if it does
     *     not
     */
    public record MemberRecord(MemberEntry entry, StoreRevision primarySinceRevision) {}

    /**
     * Creates an empty directory.
     *
     * @param recordCodec decodes the records
     * @param log receives a line for each change of the known state
     * @param clock the monotonic clock
     */
    public FleetDirectory(FleetRecordCodec recordCodec, DecisionLog log, MonotonicClock clock) {
        this.recordCodec = recordCodec;
        this.log = log;
        this.clock = clock;
    }

    /** Adds a listener that is notified after each change. */
    public void addListener(FleetListener listener) {
        listeners.add(listener);
    }

    /** Returns the configuration that this daemon applies. */
    public SessionConfiguration configuration() {
        return configuration;
    }

    /** Returns for how long this daemon has applied the configuration, in milliseconds; 0 if it has none. */
    public long configurationAgeMillis() {
        return configuration.version() == 0
                ? 0
                : TimeUnit.NANOSECONDS.toMillis(clock.nowNanos() - configurationAppliedNanos);
    }

    /** Returns the members that may be used, including those whose entry ended recently. */
    public Collection<MemberRecord> members() {
        return members.values();
    }

    /** Returns whether operators have taken a failure domain out. */
    public boolean isEvacuated(String failureDomain) {
        return takenOutSinceNanos.containsKey(failureDomain);
    }

    /**
     * Returns for how long this daemon has known that a failure domain is taken out, in nanoseconds; 0 if it is not.
     */
    public long nanosSinceTakenOut(String failureDomain) {
        Long since = takenOutSinceNanos.get(failureDomain);
        return since == null ? 0 : clock.nowNanos() - since;
    }

    /** Returns the daemons that have an entry, by entry VM. */
    public Map<String, DaemonEntry> daemons() {
        return daemons.byEntryVm();
    }

    /** Returns how many daemons in a failure domain have an entry. */
    public int daemonCount(String failureDomain) {
        return daemons.count(failureDomain);
    }

    /** Returns the lease of a daemon's entry, or empty if it has none. */
    public Optional<StoreLease> daemonLease(String entryVm) {
        return daemons.lease(entryVm);
    }

    /** Returns the time since a daemon's entry was seen to end, in nanoseconds; 0 if that is not known. */
    public long nanosSinceEntryEnded(String entryVm) {
        return daemons.nanosSinceEntryEnded(entryVm, clock.nowNanos());
    }

    /** Returns how many daemons have an entry. */
    public int daemonCount() {
        return daemons.count();
    }

    /** Returns the daemons that have an entry or had one recently, by entry VM. */
    public Map<String, DaemonEntry> recentDaemons() {
        return daemons.recent();
    }

    /**
     * Returns the failure domains of the daemons that have an entry or had one recently, by entry VM. The same object
     * is returned until the contents change.
     */
    public Map<String, String> recentFailureDomains() {
        return daemons.recentFailureDomains();
    }

    /** Returns the member of the last recorded promotion of a group, or empty if none is recorded. */
    public Optional<String> recordedPrimary(String group) {
        return promotions.of(group).map(RecordedPromotion::member);
    }

    /** Returns the last recorded promotion of a group, or empty if none is recorded. */
    public Optional<RecordedPromotion> recordedPromotion(String group) {
        return promotions.of(group);
    }

    /** Returns the revision at which the newest known promotion was recorded, or none. */
    public StoreRevision newestPromotionRevision() {
        return promotions.newestRevision();
    }

    /** Returns the revision at which the newest known promotion of a group was recorded, or none. */
    public StoreRevision promotionRevision(String group) {
        return promotions.revision(group);
    }

    /** Returns the revision of a group's promotion record that the store holds, or none; the condition of a write. */
    public StoreRevision storedPromotionRevision(String group) {
        return storedRevision(recordCodec.promotionKey(group));
    }

    /** Returns the groups with a promotion that was recorded after a revision. */
    public Set<String> groupsPromotedSince(StoreRevision revision) {
        return promotions.groupsSince(revision);
    }

    /** Returns the known promotions of earlier eras of the store that it does not hold in an era. */
    public Set<FleetRecord.Promotion> lostPromotions(long era) {
        return promotions.lostSince(era);
    }

    /** Returns the voters on the replacement of primaries. */
    public RecordedVoters voters() {
        return voters;
    }

    /** Returns the revision of the record of the voters that the store holds, or none; the condition of a write. */
    public StoreRevision storedVotersRevision() {
        return storedRevision(recordCodec.votersKey());
    }

    private StoreRevision storedRevision(String key) {
        return recordsByKey.containsKey(key) ? revisions.getOrDefault(key, StoreRevision.NONE) : StoreRevision.NONE;
    }

    /** Returns when a daemon's entry last appeared, changed or ended, on the monotonic clock. */
    public long daemonsChangedNanos() {
        return daemons.changedNanos();
    }

    /** Returns for how long the same daemons have had an entry, in nanoseconds. */
    public long nanosSinceDaemonsChanged() {
        return clock.nowNanos() - daemons.changedNanos();
    }

    /** Returns the promotion leases that a daemon holds according to the store, by database group. */
    public Map<String, StoreLease> promotionLeasesOf(String entryVm) {
        Map<String, StoreLease> leases = new HashMap<>();
        promotionLeases.forEach((group, held) -> {
            if (held.entryVm().equals(entryVm)) {
                leases.put(group, held.lease());
            }
        });
        return leases;
    }

    /** Returns the holder of the duty of reporting usage according to the store, or empty if there is none. */
    public Optional<HeldDuty> usageDuty() {
        return Optional.ofNullable(usageDuty);
    }

    /** Returns the encoded decided windows of usage; empty if there are none. */
    public ByteString usageDecisions() {
        return usageDecisions;
    }

    /**
     * Returns the number of daemons by which limits are divided: the highest number that had an entry at the same time
     * recently, because a daemon whose entry ended may still be running for a while.
     */
    public int daemonsSharingLimits() {
        return daemons.highestRecentCount();
    }

    /**
     * Finds the client account of a key.
     *
     * @param key the key as the caller sent it
     * @return the account, or empty if the key is granted to no account
     */
    public Optional<ClientAccount> accountOf(String key) {
        try {
            return Optional.of(keys.accountOf(key));
        } catch (RefusalException refusal) {
            return Optional.empty();
        }
    }

    /**
     * Applies a promotion that another daemon has recorded in the store, in case the change has not been read yet.
     *
     * @param promotion the promotion
     * @param revision the revision of its record
     */
    public void applyPromotion(FleetRecord.Promotion promotion, StoreRevision revision) {
        apply(new StoreRecord(
                recordCodec.promotionKey(promotion.group()), revision, recordCodec.encode(promotion), StoreLease.NONE));
    }

    /**
     * Applies a record of the voters that another daemon has read from the store.
     *
     * @param value the bytes of the record
     * @param revision its revision
     */
    public void applyVoters(byte[] value, StoreRevision revision) {
        apply(new StoreRecord(recordCodec.votersKey(), revision, value, StoreLease.NONE));
    }

    /** Applies a change. */
    public void apply(StoreRecord change) {
        apply(List.of(change));
    }

    /**
     * Applies changes and then notifies the listeners once. Changes of daemons alone concern no listener; in a large
     * fleet they are the most frequent ones.
     *
     * @param changes the changes, in any order
     * @return whether anything but the entries of daemons changed
     */
    public boolean apply(List<StoreRecord> changes) {
        boolean daemonsChanged = false;
        boolean othersChanged = false;
        for (StoreRecord change : changes) {
            FleetRecord before = recordsByKey.get(change.key());
            if (applyOrLog(change)) {
                boolean daemonChange = concernsDaemons(before) && concernsDaemons(recordsByKey.get(change.key()));
                daemonsChanged |= daemonChange;
                othersChanged |= !daemonChange;
            }
        }
        if (othersChanged) {
            notifyListeners();
        } else if (daemonsChanged) {
            daemons.updateViews();
        }
        return othersChanged;
    }

    /** Returns whether a record is absent or one that daemons write about themselves. */
    private static boolean concernsDaemons(@Nullable FleetRecord record) {
        return record == null
                || record instanceof FleetRecord.Daemon
                || record instanceof FleetRecord.PromotionLeaseHolder
                || record instanceof FleetRecord.Voters
                || record instanceof FleetRecord.UsageDutyHolder
                || record instanceof FleetRecord.UsageDecisions;
    }

    /**
     * Applies all records of the store, and removes those that the store no longer holds.
     *
     * @param all the records
     * @param revision the revision of the store before the first of them was read
     */
    public void replaceAll(List<StoreRecord> all, StoreRevision revision) {
        Set<String> present = new HashSet<>();
        for (StoreRecord found : all) {
            present.add(found.key());
            applyOrHoldBack(found);
        }
        for (String key : ImmutableSet.copyOf(recordsByKey.keySet())) {
            if (!present.contains(key)
                    && !revisions.getOrDefault(key, StoreRevision.NONE).isAfter(revision)) {
                applyOrHoldBack(new StoreRecord(key, revision, null, StoreLease.NONE));
            }
        }
        notifyListeners();
    }

    /** Applies a change of a reading, unless it may be an older state that the store was restored to. */
    private void applyOrHoldBack(StoreRecord change) {
        StoreRevision known = revisions.get(change.key());
        if (known != null && known.era() < change.revision().era()) {
            byte[] value = change.value();
            FleetRecord found = value == null ? null : decodeOrNull(change.key(), value);
            if (HeldBackChanges.contradicts(recordsByKey.get(change.key()), found)) {
                heldBack.hold(change, clock.nowNanos() + ENDED_MEMBER_RETENTION_NANOS);
                return;
            }
        }
        applyOrLog(change);
    }

    private @Nullable FleetRecord decodeOrNull(String key, byte[] value) {
        try {
            return recordCodec.decode(key, value);
        } catch (RuntimeException | StackOverflowError exception) {
            // Reported when the change is applied.
            return null;
        }
    }

    /** Removes members and daemons whose entry ended a while ago, and applies changes that were held back. */
    public void tick() {
        long now = clock.nowNanos();
        apply(heldBack.takeDue(now));
        daemons.tick(now);
        voters.observeRegistered(daemons.byEntryVm().keySet(), now);
        boolean removed = false;
        for (Map.Entry<String, Long> removal :
                ImmutableMap.copyOf(memberRemovalNanos).entrySet()) {
            if (now - removal.getValue() >= 0) {
                memberRemovalNanos.remove(removal.getKey());
                members.remove(removal.getKey());
                removed = true;
                log.line("member")
                        .with("member", removal.getKey())
                        .with("change", "forgotten")
                        .write();
            }
        }
        if (removed) {
            notifyListeners();
        }
    }

    /** Applies a record; one that cannot be applied must not keep the others from being applied. */
    private boolean applyOrLog(StoreRecord change) {
        try {
            return applyRecord(change);
        } catch (RuntimeException | StackOverflowError exception) {
            log.line("fault")
                    .with("key", change.key())
                    .with("revision", change.revision().number())
                    .with("reason", exception.toString())
                    .write();
            return false;
        }
    }

    private boolean applyRecord(StoreRecord change) {
        if (revisions.getOrDefault(change.key(), StoreRevision.NONE).isAfter(change.revision())) {
            return false;
        }
        revisions.put(change.key(), change.revision());
        heldBack.discard(change.key());
        byte[] value = change.value();
        FleetRecord before = recordsByKey.get(change.key());
        if (value == null) {
            recordsByKey.remove(change.key());
            if (before != null) {
                remove(before, change);
            }
            return before != null;
        }
        FleetRecord after = recordCodec.decode(change.key(), value);
        if (before != null && before.getClass() != after.getClass()) {
            remove(before, change);
        }
        recordsByKey.put(change.key(), after);
        add(after, change);
        return true;
    }

    private void add(FleetRecord record, StoreRecord change) {
        if (record instanceof FleetRecord.Configuration found) {
            applyConfiguration(found.configuration(), change.revision());
        } else if (record instanceof FleetRecord.Member found) {
            addMember(found.entry(), change.revision());
        } else if (record instanceof FleetRecord.Evacuation found) {
            takenOutSinceNanos.putIfAbsent(found.failureDomain(), clock.nowNanos());
            log.line("evacuation")
                    .with("failureDomain", found.failureDomain())
                    .with("change", "taken-out")
                    .with("revision", change.revision().number())
                    .write();
        } else if (record instanceof FleetRecord.Daemon found) {
            daemons.add(found.entry(), change.lease(), clock.nowNanos());
        } else if (record instanceof FleetRecord.Promotion found) {
            boolean applied = promotions.apply(found, change.revision(), clock.nowNanos());
            log.line("promotion-record")
                    .with("group", found.group())
                    .with("member", found.member())
                    .with("change", applied ? null : "older-than-known")
                    .with("revision", change.revision().number())
                    .write();
        } else if (record instanceof FleetRecord.Voters found) {
            boolean applied = voters.apply(found, change.revision());
            log.line("voters")
                    .with("version", found.sets().version())
                    .with("voters", String.join(",", found.sets().voters()))
                    .with(
                            "former",
                            found.sets().isChanging()
                                    ? String.join(",", found.sets().former())
                                    : null)
                    .with("change", applied ? null : "older-than-known")
                    .with("revision", change.revision().number())
                    .write();
        } else if (record instanceof FleetRecord.PromotionLeaseHolder found) {
            promotionLeases.put(found.group(), new HeldPromotionLease(found.entryVm(), change.lease()));
        } else if (record instanceof FleetRecord.UsageDutyHolder found) {
            usageDuty = new HeldDuty(found.entryVm(), change.lease());
        } else if (record instanceof FleetRecord.UsageDecisions found) {
            usageDecisions = found.contents();
        } else if (record instanceof FleetRecord.Unusable found) {
            log.line("record")
                    .with("key", change.key())
                    .with("change", "ignored")
                    .with("reason", found.reason())
                    .write();
        }
    }

    private void remove(FleetRecord record, StoreRecord change) {
        if (record instanceof FleetRecord.Member found) {
            removeMember(found.entry(), change.revision());
        } else if (record instanceof FleetRecord.Evacuation found) {
            takenOutSinceNanos.remove(found.failureDomain());
            log.line("evacuation")
                    .with("failureDomain", found.failureDomain())
                    .with("change", "back")
                    .with("revision", change.revision().number())
                    .write();
        } else if (record instanceof FleetRecord.Promotion found) {
            promotions.recordRemoval(found.group());
        } else if (record instanceof FleetRecord.PromotionLeaseHolder found) {
            promotionLeases.remove(found.group());
        } else if (record instanceof FleetRecord.UsageDutyHolder) {
            usageDuty = null;
        } else if (record instanceof FleetRecord.Daemon found) {
            daemons.remove(found.entry(), clock.nowNanos());
        }
    }

    private void applyConfiguration(SessionConfiguration found, StoreRevision revision) {
        if (found.version() < configuration.version()) {
            log.line("configuration")
                    .with("version", found.version())
                    .with("change", "ignored")
                    .with("reason", "older than version " + configuration.version())
                    .write();
            return;
        }
        configuration = found;
        configurationAppliedNanos = clock.nowNanos();
        keys = KeyRegistry.of(
                FleetConfiguration.EMPTY.toBuilder().accounts(found.accounts()).build());
        log.line("configuration")
                .with("version", found.version())
                .with("revision", revision.number())
                .with("routes", found.routes().size())
                .with("accounts", found.accounts().size())
                .write();
    }

    private void addMember(MemberEntry entry, StoreRevision revision) {
        MemberRecord before = members.get(entry.member());
        boolean restarted = before != null && before.entry().startedAtMillis() != entry.startedAtMillis();
        StoreRevision primarySince = StoreRevision.NONE;
        if (entry.primary()) {
            boolean alreadyPrimary =
                    before != null && !restarted && before.entry().primary();
            primarySince = alreadyPrimary && before != null ? before.primarySinceRevision() : revision;
        }
        memberRemovalNanos.remove(entry.member());
        members.put(entry.member(), new MemberRecord(entry, primarySince));
        log.line("member")
                .with("member", entry.member())
                .with("group", entry.group())
                .with("primary", entry.primary())
                .with("leaving", entry.leaving())
                .with("failureDomain", entry.failureDomain())
                .with("reborn", restarted)
                .with("revision", revision.number())
                .write();
    }

    private void removeMember(MemberEntry entry, StoreRevision revision) {
        @Nullable MemberRecord known = members.get(entry.member());
        if (known == null) {
            return;
        }
        if (known.entry().leaving()) {
            members.remove(entry.member());
        } else {
            memberRemovalNanos.put(entry.member(), clock.nowNanos() + ENDED_MEMBER_RETENTION_NANOS);
        }
        log.line("member")
                .with("member", entry.member())
                .with("change", known.entry().leaving() ? "left" : "entry-ended")
                .with("revision", revision.number())
                .write();
    }

    private void notifyListeners() {
        daemons.updateViews();
        listeners.forEach(FleetListener::onFleetChange);
    }
}
