package org.banyanhook.gateway.port;

import org.banyanhook.core.configuration.SessionConfiguration;

/** A record of the store in the product's terms. */
public sealed interface FleetRecord {

    /**
     * The operators' configuration.
     *
     * @param configuration what it says
     */
    record Configuration(SessionConfiguration configuration) implements FleetRecord {}

    /**
     * A member's entry.
     *
     * @param entry what it says
     */
    record Member(MemberEntry entry) implements FleetRecord {}

    /**
     * A failure domain that operators have taken out.
     *
     * @param failureDomain its name
     */
    record Evacuation(String failureDomain) implements FleetRecord {}

    /**
     * A daemon's entry.
     *
     * @param entry what it says
     */
    record Daemon(DaemonEntry entry) implements FleetRecord {}

    /**
     * The last promotion that was ordered for a group.
     *
     * @param group the database group
     * @param member the member that is to lead
     */
    record Promotion(String group, String member) implements FleetRecord {}

    /**
     * A record that names nothing to use.
     *
     * @param reason why, for the log
     */
    record Unusable(String reason) implements FleetRecord {}

    /** A record of no interest here. */
    record Other() implements FleetRecord {}
}
