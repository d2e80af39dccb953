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
 * @param recentCommandIds ids of the latest commands applied, oldest first, to apply none twice
 */
public record FleetConfiguration(
        long version,
        List<FailureDomain> failureDomains,
        List<ClientAccount> accounts,
        List<Service> services,
        Set<String> withdrawnKeyHashes,
        List<SessionSecret> sessionSecrets,
        List<String> recentCommandIds) {

    /** The configuration of a daemon that has read none yet. */
    public static final FleetConfiguration EMPTY =
            new FleetConfiguration(0, List.of(), List.of(), List.of(), Set.of(), List.of(), List.of());

    public FleetConfiguration {
        failureDomains = ImmutableList.copyOf(failureDomains);
        accounts = ImmutableList.copyOf(accounts);
        services = ImmutableList.copyOf(services);
        withdrawnKeyHashes = ImmutableSet.copyOf(withdrawnKeyHashes);
        sessionSecrets = ImmutableList.copyOf(sessionSecrets);
        recentCommandIds = ImmutableList.copyOf(recentCommandIds);
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
