package org.banyanhook.core.command;

import java.util.Set;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.error.RefusalException;

/** A command that changes the configuration. Immutable. */
public sealed interface ConfigurationChange extends Command
        permits SetAccount,
                SetRoute,
                GrantAccount,
                GrantKey,
                WithdrawKey,
                SetFailureDomainTakenOut,
                SetBackendServerDraining,
                SetEntryVmDraining {

    /**
     * Returns the parts of the configuration that the change writes. Two changes commute unless they have a subject in
     * common.
     */
    Set<String> subjects();

    /**
     * Applies the change to a configuration.
     *
     * @param configuration the configuration before the change
     * @return the changed configuration, with the same version and the same recent commands
     * @throws RefusalException if the change cannot be applied to this configuration
     */
    FleetConfiguration applyTo(FleetConfiguration configuration) throws RefusalException;

    /** Returns whether this change commutes with every other change. */
    default boolean commutesWithAll() {
        return false;
    }
}
