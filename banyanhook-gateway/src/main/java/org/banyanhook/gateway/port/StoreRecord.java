package org.banyanhook.gateway.port;

import org.banyanhook.core.store.StoreRevision;
import org.jspecify.annotations.Nullable;

/**
 * A record of the store, or the removal of one.
 *
 * @param key the key of the record
 * @param revision the revision of the change
 * @param value the bytes of the record, or null if it was removed
 * @param lease the lease whose end removes the record, or {@link StoreLease#NONE}
 */
@SuppressWarnings("ArrayRecordComponent") // Records are never compared by content, only by key and revision.
public record StoreRecord(String key, StoreRevision revision, byte @Nullable [] value, StoreLease lease) {}
