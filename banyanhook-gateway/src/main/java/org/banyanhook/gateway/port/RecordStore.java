package org.banyanhook.gateway.port;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's store of records with conditions, leases and watches. Every future completes on the event loop that
 * the store was made with, and fails with a {@link StoreException}. Nothing is retried here.
 */
public interface RecordStore {

    /**
     * Reads a page of records.
     *
     * @param prefix what the keys begin with
     * @param afterKey the last key of the page before, or empty for the first page
     * @return the page
     */
    CompletableFuture<StorePage> list(String prefix, Optional<String> afterKey);

    /**
     * Waits for changes.
     *
     * @param prefix what the keys begin with
     * @param afterRevision the revision up to which changes are known
     * @param maximumWait how long the store may wait for a change
     * @return the changes, maybe none
     */
    CompletableFuture<StorePage> watch(String prefix, long afterRevision, Duration maximumWait);

    /**
     * Writes a record under a condition.
     *
     * @param key its key
     * @param value its bytes
     * @param expectedRevision the revision that it must have, 0 if it must not exist, or empty for no condition
     * @param lease the lease with which it ends
     * @return the revision of the change
     */
    CompletableFuture<Long> put(String key, byte[] value, OptionalLong expectedRevision, long lease);

    /**
     * Writes a record that does not end by itself, while another record is unchanged.
     *
     * @param key its key
     * @param value its bytes
     * @param guardKey the key of the other record
     * @param guardRevision the revision that the other record must have
     * @return the revision of the change
     */
    CompletableFuture<Long> putGuarded(String key, byte[] value, String guardKey, long guardRevision);

    /**
     * Opens a lease.
     *
     * @param timeToLive how long it lasts without renewal
     * @return its name
     */
    CompletableFuture<Long> openLease(Duration timeToLive);

    /**
     * Renews a lease.
     *
     * @param lease its name
     * @return completed when renewed
     */
    CompletableFuture<Void> renewLease(long lease);

    /**
     * Ends a lease and removes its records.
     *
     * @param lease its name
     * @return completed when ended
     */
    CompletableFuture<Void> endLease(long lease);
}
