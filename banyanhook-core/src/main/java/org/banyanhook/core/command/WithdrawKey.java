package org.banyanhook.core.command;

import com.google.common.collect.ImmutableSet;
import java.util.Set;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.configuration.GrantedKey;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;

/**
 * Withdraws a key of a client account permanently.
 *
 * @param account the name of the account
 * @param keyId the id of the key
 */
public record WithdrawKey(String account, String keyId) implements ConfigurationChange {

    @Override
    public String text() {
        return "withdraw key " + account + " " + keyId;
    }

    @Override
    public Set<String> subjects() {
        return ImmutableSet.of("account/" + account + "/key/" + keyId);
    }

    @Override
    public boolean commutesWithAll() {
        return true;
    }

    @Override
    public FleetConfiguration applyTo(FleetConfiguration configuration) throws RefusalException {
        String hash = findHash(configuration);
        return configuration.toBuilder()
                .withdrawnKeyHashes(ImmutableSet.<String>builder()
                        .addAll(configuration.withdrawnKeyHashes())
                        .add(hash)
                        .build())
                .build();
    }

    /**
     * Returns the hash of the key to withdraw.
     *
     * @param configuration the configuration that grants the key
     * @return the hash of the key
     * @throws RefusalException if the account does not exist or has no such key
     */
    public String findHash(FleetConfiguration configuration) throws RefusalException {
        return ConfigurationEdits.findAccount(configuration, account).keys().stream()
                .filter(key -> key.id().equals(keyId))
                .map(GrantedKey::hash)
                .findFirst()
                .orElseThrow(() -> RefusalException.notRun(
                        RefusalKind.CONFIGURATION_INVALID,
                        "Client account " + account + " has no key " + keyId
                                + "; use an id listed by 'show accounts'."));
    }
}
