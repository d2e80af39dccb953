package org.banyanhook.daemon.membership;

import java.util.List;

/** Gives the entry VMs believed to be alive. Safe for use by several threads; never blocks. */
@FunctionalInterface
public interface MembershipSource {
    /** Returns the live entry VMs, this one included, ordered by name. */
    List<EntryVm> liveEntryVms();
}
