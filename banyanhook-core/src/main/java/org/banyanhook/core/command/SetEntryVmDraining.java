package org.banyanhook.core.command;

import com.google.common.collect.ImmutableSet;
import java.util.Set;
import java.util.TreeSet;
import org.banyanhook.core.configuration.FleetConfiguration;

/**
 * Drains an entry VM or returns it to service.
 *
 * @param entryVm the name of the entry VM
 * @param draining true to drain it, false to return it to service
 */
public record SetEntryVmDraining(String entryVm, boolean draining) implements ConfigurationChange {

    @Override
    public String text() {
        return (draining ? "drain" : "return") + " entry-vm " + entryVm;
    }

    @Override
    public Set<String> subjects() {
        return ImmutableSet.of("entry-vm/" + entryVm);
    }

    @Override
    public FleetConfiguration applyTo(FleetConfiguration configuration) {
        Set<String> names = new TreeSet<>(configuration.drainedEntryVms());
        if (draining) {
            names.add(entryVm);
        } else {
            names.remove(entryVm);
        }
        return configuration.toBuilder().drainedEntryVms(names).build();
    }
}
