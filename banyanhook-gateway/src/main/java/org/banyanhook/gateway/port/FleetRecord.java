package org.banyanhook.gateway.port;

import com.google.common.collect.ImmutableMap;
import com.google.protobuf.ByteString;
import java.util.Map;
import org.banyanhook.core.configuration.SessionConfiguration;
import org.banyanhook.core.primary.VoterSets;
import org.banyanhook.core.store.StoreRevision;

/** A decoded record of the store. */
public sealed interface FleetRecord {

    /**
     * The operators' configuration.
     *
     * @param configuration the configuration
     */
    record Configuration(SessionConfiguration configuration) implements FleetRecord {}

    /**
     * A member's entry.
     *
     * @param entry the entry
     */
    record Member(MemberEntry entry) implements FleetRecord {}

    /**
     * A failure domain that operators have taken out.
     *
     * @param failureDomain the name of the failure domain
     */
    record Evacuation(String failureDomain) implements FleetRecord {}

    /**
     * A daemon's entry.
     *
     * @param entry the entry
     */
    record Daemon(DaemonEntry entry) implements FleetRecord {}

    /**
     * The last recorded promotion of a group.
     *
     * @param group the database group
     * @param member the member that is to become primary
     * @param origin the era in which the promotion was recorded first, and the number of that change; 0 if it is the
     *     number of the record itself
     */
    record Promotion(String group, String member, StoreRevision origin) implements FleetRecord {

        /** Creates a promotion that is recorded first in era 0. */
        public Promotion(String group, String member) {
            this(group, member, StoreRevision.NONE);
        }

        /**
         * Returns the revision at which the promotion was recorded first. It orders the promotions of a group also if
         * the store was restored from a copy.
         *
         * @param revision the revision of the record
         */
        public StoreRevision recordedAt(StoreRevision revision) {
            if (origin.era() > revision.era()) {
                return revision;
            }
            return origin.number() > 0 ? origin : new StoreRevision(origin.era(), revision.number());
        }
    }

    /**
     * The voters on the replacement of primaries.
     *
     * @param sets the voters
     * @param entries the entries of all of them, by entry VM
     */
    record Voters(VoterSets sets, Map<String, DaemonEntry> entries) implements FleetRecord {

        /** Before any voters have been recorded. */
        public static final Voters NONE = new Voters(VoterSets.NONE, Map.of());

        public Voters {
            entries = ImmutableMap.copyOf(entries);
        }
    }

    /**
     * The holder of a group's promotion lease.
     *
     * @param group the database group
     * @param entryVm the entry VM whose daemon holds the lease
     */
    record PromotionLeaseHolder(String group, String entryVm) implements FleetRecord {}

    /**
     * The holder of the duty of reporting usage.
     *
     * @param entryVm the entry VM whose daemon holds the duty
     */
    record UsageDutyHolder(String entryVm) implements FleetRecord {}

    /**
     * The decided windows of usage.
     *
     * @param contents the encoded windows
     */
    record UsageDecisions(ByteString contents) implements FleetRecord {}

    /**
     * A record with invalid contents.
     *
     * @param reason what is invalid, for the log
     */
    record Unusable(String reason) implements FleetRecord {}

    /** A record that the gateway does not use. */
    record Other() implements FleetRecord {}
}
