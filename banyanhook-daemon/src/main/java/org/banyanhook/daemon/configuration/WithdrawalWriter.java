package org.banyanhook.daemon.configuration;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.core.command.ChangeRequest;
import org.banyanhook.core.command.WithdrawKey;
import org.banyanhook.core.configuration.ClientAccount;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.configuration.GrantedKey;

/**
 * Writes withdrawals that were disseminated during a platform outage to the platform once it answers again. Runs on the
 * thread of one task loop.
 *
 * <p>Every watcher does so; the command id is derived from the key hash, so that only one of their changes is applied.
 * A change contains all known withdrawals, so one change is usually enough.
 */
final class WithdrawalWriter {

    private static final Logger LOGGER = LogManager.getLogger(WithdrawalWriter.class);
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);
    private static final int MAXIMUM_HASH_CHARACTERS_IN_ID = 32;

    private final ConfigurationChanger changer;
    private volatile boolean writePending;
    private long nextWriteNanos = System.nanoTime();

    WithdrawalWriter(ConfigurationChanger changer) {
        this.changer = changer;
    }

    /**
     * Starts to write one of the withdrawals if no write is pending and the retry delay has passed.
     *
     * @param unwritten hashes of withdrawn keys that the newest document does not contain
     * @param configuration the newest configuration
     */
    void writeIfDue(Set<String> unwritten, FleetConfiguration configuration, long nowNanos) {
        if (unwritten.isEmpty() || writePending || nowNanos - nextWriteNanos < 0) {
            return;
        }
        nextWriteNanos =
                nowNanos + RETRY_DELAY.toNanos() + ThreadLocalRandom.current().nextLong(RETRY_DELAY.toNanos());
        unwritten.stream()
                .flatMap(hash -> requestFor(hash, configuration).stream())
                .findFirst()
                .ifPresent(this::write);
    }

    private void write(ChangeRequest request) {
        writePending = true;
        changer.change(request).whenComplete((version, problem) -> {
            writePending = false;
            if (problem == null) {
                LOGGER.info("withdrawals made during a platform outage written in configuration version {}", version);
            }
        });
    }

    private static Optional<ChangeRequest> requestFor(String hash, FleetConfiguration configuration) {
        for (ClientAccount account : configuration.accounts()) {
            for (GrantedKey key : account.keys()) {
                if (key.hash().equals(hash)) {
                    WithdrawKey change = new WithdrawKey(account.name(), key.id());
                    String id =
                            "withdrawal-" + hash.substring(0, Math.min(MAXIMUM_HASH_CHARACTERS_IN_ID, hash.length()));
                    return Optional.of(new ChangeRequest(id, configuration.version(), change));
                }
            }
        }
        return Optional.empty();
    }
}
