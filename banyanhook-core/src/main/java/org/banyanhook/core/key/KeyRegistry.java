package org.banyanhook.core.key;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.banyanhook.core.configuration.ClientAccount;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.configuration.GrantedKey;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;

/**
 * The keys of one configuration. Immutable.
 *
 * <p>Keys are looked up by their SHA-256, so that the duration of a lookup reveals nothing about the granted keys.
 */
public final class KeyRegistry {

    private final Map<String, ClientAccount> accountsByHash;
    private final Set<String> withdrawnHashes;

    private KeyRegistry(Map<String, ClientAccount> accountsByHash, Set<String> withdrawnHashes) {
        this.accountsByHash = accountsByHash;
        this.withdrawnHashes = withdrawnHashes;
    }

    /**
     * Creates the registry of a configuration. A key that is granted to two accounts belongs to neither.
     *
     * @param configuration the configuration in force
     * @return the registry of its keys
     */
    public static KeyRegistry of(FleetConfiguration configuration) {
        Map<String, ClientAccount> accounts = new HashMap<>();
        Set<String> ambiguous = new HashSet<>();
        for (ClientAccount account : configuration.accounts()) {
            for (GrantedKey key : account.keys()) {
                ClientAccount other = accounts.put(key.hash(), account);
                if (other != null && !other.name().equals(account.name())) {
                    ambiguous.add(key.hash());
                }
            }
        }
        accounts.keySet().removeAll(ambiguous);
        return new KeyRegistry(accounts, ImmutableSet.copyOf(configuration.withdrawnKeyHashes()));
    }

    /**
     * Finds the client account that a key was granted to.
     *
     * @param key the key as the caller sent it
     * @return the account
     * @throws RefusalException of kind {@link RefusalKind#KEY_WITHDRAWN} or {@link RefusalKind#KEY_UNKNOWN}
     */
    public ClientAccount accountOf(String key) throws RefusalException {
        String hash = KeyHashes.hash(key);
        if (withdrawnHashes.contains(hash)) {
            throw RefusalException.notRun(RefusalKind.KEY_WITHDRAWN, "The key was withdrawn.");
        }
        ClientAccount account = accountsByHash.get(hash);
        if (account == null) {
            throw RefusalException.notRun(RefusalKind.KEY_UNKNOWN, "The key is not granted to any client account.");
        }
        return account;
    }
}
