package org.banyanhook.daemon.caller;

import org.banyanhook.core.configuration.ClientAccount;
import org.banyanhook.core.error.RefusalException;

/** Finds the client account of a key. Must be safe for use by several threads and not block. */
@FunctionalInterface
public interface AccountAuthenticator {
    /**
     * Finds an account. Called for every request.
     *
     * @param key the key as the caller sent it
     * @return the account that the key was granted to
     * @throws RefusalException if the key is unknown or withdrawn, or if no keys are accepted now
     */
    ClientAccount authenticate(String key) throws RefusalException;
}
