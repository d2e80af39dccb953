package org.banyanhook.core.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * One version of what operators declared for the whole fleet. Immutable.
 *
 * @param version grows by one with every accepted change; 0 means that none was read yet
 * @param failureDomains all failure domains
 * @param accounts all client accounts
 * @param services all services
 * @param withdrawnKeyHashes hashes of withdrawn keys; only ever grows
 * @param sessionSecrets secrets for session tokens, the newest first
 * @param recentCommands the latest commands applied, oldest first, to apply none twice and to find conflicts
 * @param drainedEntryVms names of entry VMs that operators drain; they get no new work
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

    /** The configuration of a daemon that has read none yet. */
    public static final FleetConfiguration EMPTY =
            new FleetConfiguration(0, List.of(), List.of(), List.of(), Set.of(), List.of(), List.of());

    /** Creates a configuration that drains no entry VM. */
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

    /** Starts a changed copy of this configuration. */
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
