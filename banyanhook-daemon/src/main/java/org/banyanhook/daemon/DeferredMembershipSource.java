package org.banyanhook.daemon;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.banyanhook.daemon.membership.EntryVm;
import org.banyanhook.daemon.membership.MembershipSource;

/** A membership source that delegates to a source set later, and is empty until then. Thread-safe. */
final class DeferredMembershipSource implements MembershipSource {

    private volatile MembershipSource delegate = ImmutableList::of;

    void set(MembershipSource value) {
        this.delegate = value;
    }

    @Override
    public List<EntryVm> liveEntryVms() {
        return delegate.liveEntryVms();
    }

    @Override
    public boolean hasRecord(String entryVm) {
        return delegate.hasRecord(entryVm);
    }
}
