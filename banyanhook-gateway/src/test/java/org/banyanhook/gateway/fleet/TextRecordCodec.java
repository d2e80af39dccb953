package org.banyanhook.gateway.fleet;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.banyanhook.core.primary.VoterSets;
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.gateway.port.DaemonEntry;
import org.banyanhook.gateway.port.FleetRecord;
import org.banyanhook.gateway.port.FleetRecordCodec;

/** A codec for the record types that tests use, with the fields separated by commas. */
public final class TextRecordCodec implements FleetRecordCodec {

    public static final String EVACUATION_PREFIX = "evacuations/";
    public static final String DAEMON_PREFIX = "daemons/";
    public static final String PROMOTION_PREFIX = "promotions/";
    public static final String PROMOTION_LEASE_PREFIX = "duties/promotion/";
    public static final String VOTERS_KEY = "voters";
    public static final String USAGE_DUTY_KEY = "duties/usage";
    public static final String USAGE_DECISIONS_KEY = "usage";

    private final Map<String, FleetRecord> prepared = new HashMap<>();
    private final Set<String> failing = new HashSet<>();

    /** Sets what the next records with a key decode to, whatever their value is. */
    public void prepare(String key, FleetRecord record) {
        prepared.put(key, record);
    }

    /** Makes the records with a key fail to decode. */
    public void failToDecode(String key) {
        failing.add(key);
    }

    @Override
    public String keyPrefix() {
        return "";
    }

    @Override
    public FleetRecord decode(String key, byte[] value) {
        if (failing.contains(key)) {
            throw new IllegalArgumentException("expected by the test");
        }
        String text = new String(value, StandardCharsets.UTF_8);
        if (key.startsWith(EVACUATION_PREFIX)) {
            return new FleetRecord.Evacuation(key.substring(EVACUATION_PREFIX.length()));
        }
        if (key.startsWith(PROMOTION_PREFIX)) {
            String[] parts = text.split("[@/]", -1);
            String group = key.substring(PROMOTION_PREFIX.length());
            return parts.length == 1
                    ? new FleetRecord.Promotion(group, text)
                    : new FleetRecord.Promotion(
                            group, parts[0], new StoreRevision(Long.parseLong(parts[1]), Long.parseLong(parts[2])));
        }
        if (key.startsWith(DAEMON_PREFIX)) {
            String entryVm = key.substring(DAEMON_PREFIX.length());
            return new FleetRecord.Daemon(new DaemonEntry(entryVm, text, entryVm));
        }
        if (key.startsWith(PROMOTION_LEASE_PREFIX)) {
            return new FleetRecord.PromotionLeaseHolder(key.substring(PROMOTION_LEASE_PREFIX.length()), text);
        }
        if (key.equals(VOTERS_KEY)) {
            return decodeVoters(text);
        }
        if (key.equals(USAGE_DUTY_KEY)) {
            return new FleetRecord.UsageDutyHolder(text);
        }
        if (key.equals(USAGE_DECISIONS_KEY) || key.startsWith(USAGE_DECISIONS_KEY + "/")) {
            return new FleetRecord.UsageDecisions(ByteString.copyFrom(value));
        }
        return prepared.getOrDefault(key, new FleetRecord.Other());
    }

    @Override
    public String daemonKey(String entryVm) {
        return DAEMON_PREFIX + entryVm;
    }

    @Override
    public byte[] encode(DaemonEntry entry) {
        return entry.failureDomain().getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public String promotionKey(String group) {
        return PROMOTION_PREFIX + group;
    }

    @Override
    public byte[] encode(FleetRecord.Promotion promotion) {
        String origin = promotion.origin().equals(StoreRevision.NONE) ? "" : "@" + promotion.origin();
        return (promotion.member() + origin).getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public String promotionLeaseKey(String group) {
        return PROMOTION_LEASE_PREFIX + group;
    }

    @Override
    public byte[] encode(FleetRecord.PromotionLeaseHolder holder) {
        return holder.entryVm().getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public String votersKey() {
        return VOTERS_KEY;
    }

    /** Encodes "version;voters;former", without the last part if no change is being made; a name is an address. */
    @Override
    public byte[] encode(FleetRecord.Voters voters) {
        Set<String> former = voters.sets().former();
        String text = voters.sets().version() + ";"
                + String.join(",", voters.sets().voters()) + (former == null ? "" : ";" + String.join(",", former));
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static FleetRecord decodeVoters(String text) {
        String[] parts = text.split(";", -1);
        VoterSets sets =
                new VoterSets(Long.parseLong(parts[0]), names(parts[1]), parts.length > 2 ? names(parts[2]) : null);
        Map<String, DaemonEntry> entries = new HashMap<>();
        sets.all().forEach(name -> entries.put(name, new DaemonEntry(name, "a", name)));
        return new FleetRecord.Voters(sets, entries);
    }

    private static Set<String> names(String text) {
        return text.isEmpty() ? Set.of() : Set.of(text.split(","));
    }

    @Override
    public String usageDutyKey() {
        return USAGE_DUTY_KEY;
    }

    @Override
    public byte[] encode(FleetRecord.UsageDutyHolder holder) {
        return holder.entryVm().getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public String usageDecisionsKey(long era) {
        return era == 0 ? USAGE_DECISIONS_KEY : USAGE_DECISIONS_KEY + "/" + era;
    }
}
