package org.banyanhook.core.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * One version of the configuration of the whole fleet. Immutable.
 *
 * @param version the version, which increases by one with every accepted change; 0 if no configuration was read yet
 * @param failureDomains all failure domains
 * @param accounts all client accounts
 * @param services all services
 * @param withdrawnKeyHashes the hashes of withdrawn keys; hashes are added and never removed
 * @param sessionSecrets the secrets that authenticate session tokens, the newest first
 * @param recentCommands the most recently applied commands, oldest first, to apply each command once and to detect
 *     conflicts
 * @param drainedEntryVms the names of entry VMs that operators drain; they are assigned no new work
 */
public record FleetConfiguration(
        long version,
        List<FailureDomain> failureDomains,
        List<ClientAccount> accounts,
        List<Service> services,
        Set<String> withdrawnKeyHashes,
        List<SessionSecret> sessionSecrets,
        List<AppliedCommand> recentCommands,
        Set<String> drainedEntryVms) {

    /** The configuration of a daemon that has not read one yet. */
    public static final FleetConfiguration EMPTY =
            new FleetConfiguration(0, List.of(), List.of(), List.of(), Set.of(), List.of(), List.of());

    /** Creates a configuration without drained entry VMs. */
    public FleetConfiguration(
            long version,
            List<FailureDomain> failureDomains,
            List<ClientAccount> accounts,
            List<Service> services,
            Set<String> withdrawnKeyHashes,
            List<SessionSecret> sessionSecrets,
            List<AppliedCommand> recentCommands) {
        this(version, failureDomains, accounts, services, withdrawnKeyHashes, sessionSecrets, recentCommands, Set.of());
    }

    public FleetConfiguration {
        failureDomains = ImmutableList.copyOf(failureDomains);
        accounts = ImmutableList.copyOf(accounts);
        services = ImmutableList.copyOf(services);
        withdrawnKeyHashes = ImmutableSet.copyOf(withdrawnKeyHashes);
        sessionSecrets = ImmutableList.copyOf(sessionSecrets);
        recentCommands = ImmutableList.copyOf(recentCommands);
        drainedEntryVms = ImmutableSet.copyOf(drainedEntryVms);
    }

    /** Returns a builder that is initialized with this configuration. */
    public FleetConfigurationBuilder toBuilder() {
        return new FleetConfigurationBuilder(this);
    }

    /** Finds a service by name, or returns empty. */
    public Optional<Service> service(String name) {
        return services.stream().filter(service -> service.name().equals(name)).findFirst();
    }

    /** Finds a client account by name, or returns empty. */
    public Optional<ClientAccount> account(String name) {
        return accounts.stream().filter(account -> account.name().equals(name)).findFirst();
    }

    /** Finds a failure domain by name, or returns empty. */
    public Optional<FailureDomain> failureDomain(String name) {
        return failureDomains.stream()
                .filter(domain -> domain.name().equals(name))
                .findFirst();
    }

    /** Finds a database of any service by name, or returns empty. */
    public Optional<Database> database(String name) {
        return services.stream()
                .flatMap(service -> service.databases().stream())
                .filter(database -> database.name().equals(name))
                .findFirst();
    }
}
