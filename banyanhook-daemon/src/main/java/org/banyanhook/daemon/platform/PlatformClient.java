package org.banyanhook.daemon.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * A client of the platform's service. Safe for use by several threads; never blocks.
 *
 * <p>Every future fails with a {@link PlatformException} if the service is unavailable, times out or refuses the call.
 */
public interface PlatformClient {
    /** Reads a value; empty if it is absent. */
    CompletableFuture<Optional<StoredValue>> read(String key);

    /**
     * Replaces a value if it has the expected revision.
     *
     * @param key the key
     * @param value the new value, at most 1 MB
     * @param expectedRevision the revision that the value must have, 0 if it must be absent
     * @return the new revision; failed with kind {@code CONFLICT} if the revision differs, or {@code UNAVAILABLE} if no
     *     valid response was received, in which case the change may have taken effect
     */
    CompletableFuture<Long> compareAndSwap(String key, String value, long expectedRevision);

    /**
     * Waits for a newer revision of a value.
     *
     * @param key the key
     * @param afterRevision the last known revision
     * @param wait the maximum time to wait
     * @return the newer value; empty if there is none within that time
     */
    CompletableFuture<Optional<StoredValue>> watch(String key, long afterRevision, Duration wait);

    /** Reads the list of virtual machines, which may lag behind their actual state. */
    CompletableFuture<List<VirtualMachine>> virtualMachines();
}
