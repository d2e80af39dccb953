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

    /** Returns what the change writes. Two changes commute unless they have a subject in common. */
    Set<String> subjects();

    /**
     * Makes the changed configuration.
     *
     * @param configuration the configuration before the change
     * @return the configuration after it, of the same version and history
     * @throws RefusalException if the change cannot be made to this configuration
     */
    FleetConfiguration applyTo(FleetConfiguration configuration) throws RefusalException;

    /** Returns whether the order of this change and any other never matters. */
    default boolean commutesWithAll() {
        return false;
    }
}
