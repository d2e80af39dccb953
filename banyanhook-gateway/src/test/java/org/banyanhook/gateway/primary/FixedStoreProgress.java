package org.banyanhook.gateway.primary;

import org.banyanhook.core.store.StoreRevision;

/** What a daemon has read from the store, as set by the test; at first in contact and nothing read. */
final class FixedStoreProgress implements PeerVoteExchange.StoreProgress {

    private long nanosSinceContact;
    private StoreRevision readRevision = StoreRevision.NONE;

    void nanosSinceContact(long value) {
        nanosSinceContact = value;
    }

    void readRevision(StoreRevision value) {
        readRevision = value;
    }

    @Override
    public long nanosSinceContact() {
        return nanosSinceContact;
    }

    @Override
    public StoreRevision readRevision() {
        return readRevision;
    }
}
