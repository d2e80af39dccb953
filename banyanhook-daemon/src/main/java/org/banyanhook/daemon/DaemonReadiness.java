package org.banyanhook.daemon;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.banyanhook.core.configuration.Database;
import org.banyanhook.core.configuration.FailureDomain;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.daemon.administration.ReadinessProbe;
import org.banyanhook.daemon.configuration.ConfigurationSource;
import org.banyanhook.daemon.forwarding.HomeDirectory;
import org.banyanhook.daemon.primary.PrimaryDirectory;

/**
 * Determines whether this entry VM is ready to receive callers' requests. Thread-safe.
 *
 * <p>After the start, the primary of each database that has this entry VM as a home must have been known once. A
 * primary that fails later does not make the entry VM unready.
 */
final class DaemonReadiness implements ReadinessProbe {

    private final String entryVm;
    private final String failureDomain;
    private final ConfigurationSource configuration;
    private final HomeDirectory homes;
    private final PrimaryDirectory primaries;
    private volatile boolean primariesFound;
    private volatile boolean stopping;

    DaemonReadiness(
            String entryVm,
            String failureDomain,
            ConfigurationSource configuration,
            HomeDirectory homes,
            PrimaryDirectory primaries) {
        this.entryVm = requireNonNull(entryVm, "entryVm");
        this.failureDomain = requireNonNull(failureDomain, "failureDomain");
        this.configuration = requireNonNull(configuration, "configuration");
        this.homes = requireNonNull(homes, "homes");
        this.primaries = requireNonNull(primaries, "primaries");
    }

    /** Makes the entry VM permanently unready. */
    void withdraw() {
        stopping = true;
    }

    @Override
    public List<String> obstacles() {
        FleetConfiguration current = configuration.current();
        if (stopping) {
            return List.of("This entry VM is shutting down.");
        }
        if (current.version() == 0) {
            return List.of("This entry VM has not read a configuration yet.");
        }
        if (current.failureDomain(failureDomain).map(FailureDomain::takenOut).orElse(false)) {
            return List.of("Failure domain " + failureDomain + " is taken out.");
        }
        if (current.drainedEntryVms().contains(entryVm)) {
            return List.of("An operator is draining this entry VM.");
        }
        return primaryObstacles(current);
    }

    private List<String> primaryObstacles(FleetConfiguration current) {
        if (primariesFound) {
            return List.of();
        }
        List<String> withoutPrimary = current.services().stream()
                .flatMap(service -> service.databases().stream())
                .map(Database::name)
                .filter(this::isHome)
                .filter(database -> primaries.primary(database).isEmpty())
                .toList();
        primariesFound = withoutPrimary.isEmpty();
        return withoutPrimary.isEmpty()
                ? List.of()
                : List.of("No primary has been found yet for " + String.join(", ", withoutPrimary) + ".");
    }

    private boolean isHome(String database) {
        return homes.homes(database).stream().anyMatch(home -> home.name().equals(entryVm));
    }
}
