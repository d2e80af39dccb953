package org.banyanhook.core.configuration;

import java.util.List;
import java.util.Set;

/** Builds a modified copy of a {@link FleetConfiguration}. Not thread-safe. */
public final class FleetConfigurationBuilder {

    private final List<SessionSecret> sessionSecrets;
    private long version;
    private List<FailureDomain> failureDomains;
    private List<ClientAccount> accounts;
    private List<Service> services;
    private Set<String> withdrawnKeyHashes;
    private List<AppliedCommand> recentCommands;
    private Set<String> drainedEntryVms;

    FleetConfigurationBuilder(FleetConfiguration original) {
        this.version = original.version();
        this.failureDomains = original.failureDomains();
        this.accounts = original.accounts();
        this.services = original.services();
        this.withdrawnKeyHashes = original.withdrawnKeyHashes();
        this.sessionSecrets = original.sessionSecrets();
        this.recentCommands = original.recentCommands();
        this.drainedEntryVms = original.drainedEntryVms();
    }

    /** Sets the version. */
    public FleetConfigurationBuilder version(long value) {
        this.version = value;
        return this;
    }

    /** Sets all failure domains. */
    public FleetConfigurationBuilder failureDomains(List<FailureDomain> value) {
        this.failureDomains = value;
        return this;
    }

    /** Sets all client accounts. */
    public FleetConfigurationBuilder accounts(List<ClientAccount> value) {
        this.accounts = value;
        return this;
    }

    /** Sets all services. */
    public FleetConfigurationBuilder services(List<Service> value) {
        this.services = value;
        return this;
    }

    /** Sets the hashes of withdrawn keys. */
    public FleetConfigurationBuilder withdrawnKeyHashes(Set<String> value) {
        this.withdrawnKeyHashes = value;
        return this;
    }

    /** Sets the most recently applied commands, oldest first. */
    public FleetConfigurationBuilder recentCommands(List<AppliedCommand> value) {
        this.recentCommands = value;
        return this;
    }

    /** Sets the names of drained entry VMs. */
    public FleetConfigurationBuilder drainedEntryVms(Set<String> value) {
        this.drainedEntryVms = value;
        return this;
    }

    /** Builds the copy. */
    public FleetConfiguration build() {
        return new FleetConfiguration(
                version,
                failureDomains,
                accounts,
                services,
                withdrawnKeyHashes,
                sessionSecrets,
                recentCommands,
                drainedEntryVms);
    }
}
