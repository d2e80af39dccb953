package org.banyanhook.daemon.membership;

import java.util.List;

/** Provides the entry VMs that are known to be alive. Thread-safe; never blocks. */
@FunctionalInterface
public interface MembershipSource {
    /** Returns the live entry VMs, including this one, ordered by name. */
    List<EntryVm> liveEntryVms();

    /**
     * Returns whether there is a record of an entry VM, alive or dead. One without a record may have started recently
     * and not be known here yet. A source that keeps no records of dead entry VMs returns true.
     *
     * @param entryVm the name of the entry VM
     */
    default boolean hasRecord(String entryVm) {
        return true;
    }
}
