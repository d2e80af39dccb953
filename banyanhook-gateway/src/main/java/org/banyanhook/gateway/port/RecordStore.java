package org.banyanhook.gateway.port;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import org.banyanhook.core.store.StoreRevision;

/**
 * The platform's record store, with conditional writes, leases and watches. Every future completes on the event loop
 * that the store was created with, and fails with a {@link StoreException}. Implementations do not retry. Revisions and
 * leases of the results have the era of the answer.
 */
public interface RecordStore {

    /**
     * Sets the listener of the era of each answer, also of a refusal. It is called before the answer's future
     * completes.
     *
     * @param listener receives the era, 0 if the answer contains none
     */
    default void onEra(LongConsumer listener) {
        // A store without eras has nothing to report.
    }

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
    CompletableFuture<StorePage> watch(String prefix, StoreRevision afterRevision, Duration maximumWait);

    /**
     * Writes a record under a lease, if its revision is the expected one.
     *
     * @param key the key of the record
     * @param value the bytes of the record
     * @param expectedRevision the current revision that is required, {@link StoreRevision#NONE} if the record must not
     *     exist, or empty for no condition
     * @param lease the lease whose end removes the record, or {@link StoreLease#NONE}
     * @return the revision of the change
     */
    CompletableFuture<StoreRevision> put(
            String key, byte[] value, Optional<StoreRevision> expectedRevision, StoreLease lease);

    /**
     * Writes a record without a lease, if it and other records still have given revisions. A write whose answer was
     * lost therefore has no effect once a later one has been made.
     *
     * @param key the key of the record
     * @param value the bytes of the record
     * @param expectedRevision the required revision of the record, {@link StoreRevision#NONE} if it must not exist
     * @param guards the required revision of each of the other records, by its key, {@link StoreRevision#NONE} if it
     *     must not exist
     * @return the revision of the change
     */
    CompletableFuture<StoreRevision> putGuarded(
            String key, byte[] value, StoreRevision expectedRevision, Map<String, StoreRevision> guards);

    /**
     * Opens a lease.
     *
     * @param timeToLive how long it lasts without renewal
     * @return the lease
     */
    CompletableFuture<StoreLease> openLease(Duration timeToLive);

    /**
     * Renews a lease.
     *
     * @param lease the lease
     * @return a future that completes when the lease is renewed
     */
    CompletableFuture<Void> renewLease(StoreLease lease);

    /**
     * Ends a lease and removes its records.
     *
     * @param lease the lease
     * @return a future that completes when the lease has ended
     */
    CompletableFuture<Void> endLease(StoreLease lease);
}
