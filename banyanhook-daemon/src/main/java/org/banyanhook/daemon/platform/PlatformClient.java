package org.banyanhook.daemon.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's service. Safe for use by several threads; never blocks.
 *
 * <p>Every future fails with a {@link PlatformException} when the service is down, slow or refuses.
 */
public interface PlatformClient {
    /** Reads a value, or returns empty if it is absent. */
    CompletableFuture<Optional<StoredValue>> read(String key);

    /**
     * Replaces a value if its revision is as expected.
     *
     * @param key the key
     * @param value the new value, at most 1 MB
     * @param expectedRevision the revision that the value must have, 0 if it must be absent
     * @return the new revision; failed with kind {@code CONFLICT} if the revision differs, or {@code UNAVAILABLE} if no
     *     answer came, in which case the change may have taken effect
     */
    CompletableFuture<Long> compareAndSwap(String key, String value, long expectedRevision);

    /**
     * Waits for a newer revision of a value.
     *
     * @param key the key
     * @param afterRevision the revision already known
     * @param wait how long to wait
     * @return the newer value, or empty if the time passed
     */
    CompletableFuture<Optional<StoredValue>> watch(String key, long afterRevision, Duration wait);

    /** Reads the lagging list of virtual machines. */
    CompletableFuture<List<VirtualMachine>> virtualMachines();
}
