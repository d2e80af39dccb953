package org.banyanhook.daemon.caller;

import org.banyanhook.core.configuration.ClientAccount;
import org.banyanhook.core.error.RefusalException;

/** Authenticates callers by key. Implementations must be thread-safe and must not block. */
@FunctionalInterface
public interface AccountAuthenticator {
    /**
     * Returns the client account of a key. Called for each request that carries a key.
     *
     * @param key the key, as sent by the caller
     * @return the account that the key was granted to
     * @throws RefusalException if the key is unknown or withdrawn, or if keys are not accepted at present
     */
    ClientAccount authenticate(String key) throws RefusalException;
}
