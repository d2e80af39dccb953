package org.banyanhook.gateway.port;

import com.google.protobuf.ByteString;
import org.banyanhook.core.configuration.SessionConfiguration;

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
     */
    record Promotion(String group, String member) implements FleetRecord {}

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
