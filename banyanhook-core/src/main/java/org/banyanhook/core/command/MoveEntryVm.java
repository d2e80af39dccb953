package org.banyanhook.core.command;

import com.google.common.collect.ImmutableSet;
import java.util.Set;
import java.util.TreeSet;
import org.banyanhook.core.configuration.FleetConfiguration;

/**
 * Drains an entry VM, or returns it to service.
 *
 * @param entryVm the name of the entry VM
 * @param drained true to drain it
 */
public record MoveEntryVm(String entryVm, boolean drained) implements Change {

    @Override
    public String text() {
        return (drained ? "drain" : "return") + " entry-vm " + entryVm;
    }

    @Override
    public Set<String> subjects() {
        return ImmutableSet.of("entry-vm/" + entryVm);
    }

    @Override
    public FleetConfiguration applyTo(FleetConfiguration configuration) {
        Set<String> names = new TreeSet<>(configuration.drainedEntryVms());
        if (drained) {
            names.add(entryVm);
        } else {
            names.remove(entryVm);
        }
        return configuration.toBuilder().drainedEntryVms(names).build();
    }
}
