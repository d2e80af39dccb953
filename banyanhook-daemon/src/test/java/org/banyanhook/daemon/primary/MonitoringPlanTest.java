package org.banyanhook.daemon.primary;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.banyanhook.core.configuration.BackendServer;
import org.banyanhook.core.configuration.Database;
import org.banyanhook.core.configuration.FailureDomain;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.configuration.Service;
import org.banyanhook.daemon.membership.EntryVm;
import org.junit.jupiter.api.Test;

/**
 * Guards against a plan that keeps outdated ranks after a change of the configuration, or ranks all databases anew
 * although they are the same.
 */
final class MonitoringPlanTest {

    private static final List<EntryVm> LIVE_ENTRY_VMS = IntStream.range(0, 9)
            .mapToObj(number -> new EntryVm("vm-" + number, "domain-" + number % 3, "127.0.0.1:" + number, false))
            .toList();

    @Test
    void keepsTheRanksIfANewConfigurationHasTheSameDatabases() {
        MonitoringPlan plan = MonitoringPlan.of(configuration(40, false), LIVE_ENTRY_VMS, "vm-0", "domain-0");
        MonitoringPlan newer = plan.withConfiguration(configuration(40, true));
        assertThat(newer.ranks()).isSameInstanceAs(plan.ranks());
        assertThat(newer.takenOutFailureDomains()).containsExactly("domain-0");
    }

    @Test
    void ranksNewDatabasesAsInAFullPlan() {
        MonitoringPlan plan = MonitoringPlan.of(configuration(40, false), LIVE_ENTRY_VMS, "vm-0", "domain-0");
        MonitoringPlan full = MonitoringPlan.of(configuration(60, false), LIVE_ENTRY_VMS, "vm-0", "domain-0");
        assertThat(plan.withConfiguration(configuration(60, false)).ranks()).isEqualTo(full.ranks());
        assertThat(full.ranks().size()).isGreaterThan(plan.ranks().size());
    }

    private static FleetConfiguration configuration(int databases, boolean takenOut) {
        List<Database> groups = IntStream.range(0, databases)
                .mapToObj(number -> new Database(
                        "database-" + number,
                        List.of(new BackendServer("member-" + number, "domain-0", "127.0.0.1:1", false)),
                        16,
                        2))
                .toList();
        return new FleetConfiguration(
                1,
                List.of(new FailureDomain("domain-0", "region", 1, takenOut)),
                List.of(),
                List.of(new Service("service", groups, List.of())),
                Set.of(),
                List.of(),
                List.of());
    }
}
