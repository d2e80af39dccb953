package org.banyanhook.gateway.port;

import org.jspecify.annotations.Nullable;

/**
 * A record of the store, or the news that it was removed.
 *
 * @param key its key
 * @param revision the revision of the change
 * @param value its bytes, or null if it was removed
 * @param lease the lease with which it ends, 0 for none
 */
@SuppressWarnings("ArrayRecordComponent") // Compared by key and revision only; never by content.
public record StoreRecord(String key, long revision, byte @Nullable [] value, long lease) {}
