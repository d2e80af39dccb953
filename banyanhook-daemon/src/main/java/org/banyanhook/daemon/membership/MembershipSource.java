package org.banyanhook.daemon.membership;

import java.util.List;

/** Provides the entry VMs that are known to be alive. Thread-safe; never blocks. */
@FunctionalInterface
public interface MembershipSource {
    /** Returns the live entry VMs, including this one, ordered by name. */
    List<EntryVm> liveEntryVms();
}
