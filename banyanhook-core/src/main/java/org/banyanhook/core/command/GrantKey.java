package org.banyanhook.core.command;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.Set;
import org.banyanhook.core.configuration.ClientAccount;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.configuration.GrantedKey;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;

/**
 * Grants a key to a client account.
 *
 * @param account the name of the account
 * @param keyId the id of the key, unique in the account
 * @param hash the SHA-256 of the key in lower-case hexadecimal
 */
public record GrantKey(String account, String keyId, String hash) implements ConfigurationChange {

    @Override
    public String text() {
        return "grant key " + account + " id=" + keyId + " hash=" + hash;
    }

    @Override
    public Set<String> subjects() {
        return ImmutableSet.of("account/" + account + "/key/" + keyId, "hash/" + hash);
    }

    @Override
    public FleetConfiguration applyTo(FleetConfiguration configuration) throws RefusalException {
        if (configuration.withdrawnKeyHashes().contains(hash)) {
            throw refusal("the key was withdrawn and cannot be granted again; grant a new key.");
        }
        ClientAccount original = ConfigurationEdits.findAccount(configuration, account);
        Optional<GrantedKey> sameId =
                original.keys().stream().filter(key -> key.id().equals(keyId)).findFirst();
        if (sameId.isPresent()) {
            return unchangedIfSameHash(configuration, sameId.get());
        }
        boolean hashTaken = configuration.accounts().stream()
                .flatMap(entry -> entry.keys().stream())
                .anyMatch(key -> key.hash().equals(hash));
        if (hashTaken) {
            throw refusal("the same key is already granted; grant a different key.");
        }
        return ConfigurationEdits.replaceAccount(configuration, account, this::withKey);
    }

    private FleetConfiguration unchangedIfSameHash(FleetConfiguration configuration, GrantedKey present)
            throws RefusalException {
        if (present.hash().equals(hash)) {
            return configuration;
        }
        throw refusal("the account has another key with that id; use another id.");
    }

    private ClientAccount withKey(ClientAccount original) {
        return new ClientAccount(
                original.name(),
                ImmutableList.<GrantedKey>builder()
                        .addAll(original.keys())
                        .add(new GrantedKey(keyId, hash))
                        .build(),
                original.ratePerSecond(),
                original.burst(),
                original.weight());
    }

    private RefusalException refusal(String problem) {
        return RefusalException.notRun(
                RefusalKind.CONFIGURATION_INVALID,
                "Key " + keyId + " of client account " + account + " is not granted: " + problem);
    }
}
