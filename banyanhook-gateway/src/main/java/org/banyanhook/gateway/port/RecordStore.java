package org.banyanhook.gateway.port;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's record store, with conditional writes, leases and watches. Every future completes on the event loop
 * that the store was created with, and fails with a {@link StoreException}. Implementations do not retry.
 */
public interface RecordStore {

    /**
     * Reads a page of records.
     *
     * @param prefix the common prefix of the keys
     * @param afterKey the last key of the previous page, or empty for the first page
     * @return the page
     */
    CompletableFuture<StorePage> list(String prefix, Optional<String> afterKey);

    /**
     * Waits for changes.
     *
     * @param prefix the common prefix of the keys
     * @param afterRevision the revision up to which changes have been read
     * @param maximumWait how long the store may wait for a change
     * @return the changes, possibly none
     */
    CompletableFuture<StorePage> watch(String prefix, long afterRevision, Duration maximumWait);

    /**
     * Writes a record under a lease, if its revision is the expected one.
     *
     * @param key the key of the record
     * @param value the bytes of the record
     * @param expectedRevision the current revision that is required, 0 if the record must not exist, or empty for no
     *     condition
     * @param lease the lease whose end removes the record
     * @return the revision of the change
     */
    CompletableFuture<Long> put(String key, byte[] value, OptionalLong expectedRevision, long lease);

    /**
     * Writes a record without a lease, if it and another record still have given revisions. A write whose answer was
     * lost therefore has no effect once a later one has been made.
     *
     * @param key the key of the record
     * @param value the bytes of the record
     * @param expectedRevision the required revision of the record, 0 if it must not exist
     * @param guardKey the key of the other record
     * @param guardRevision the required revision of the other record
     * @return the revision of the change
     */
    CompletableFuture<Long> putGuarded(
            String key, byte[] value, long expectedRevision, String guardKey, long guardRevision);

    /**
     * Opens a lease.
     *
     * @param timeToLive how long it lasts without renewal
     * @return the identifier of the lease
     */
    CompletableFuture<Long> openLease(Duration timeToLive);

    /**
     * Renews a lease.
     *
     * @param lease the identifier of the lease
     * @return a future that completes when the lease is renewed
     */
    CompletableFuture<Void> renewLease(long lease);

    /**
     * Ends a lease and removes its records.
     *
     * @param lease the identifier of the lease
     * @return a future that completes when the lease has ended
     */
    CompletableFuture<Void> endLease(long lease);
}
