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
 * Writes withdrawals that were spread while the platform was down, once it answers again. Runs on the thread of one
 * duty.
 *
 * <p>Every watcher does it; the command id made from the hash lets one of them win. A change carries all withdrawals
 * known, so one is mostly enough.
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
     * Starts to write one of the withdrawals if none is under way.
     *
     * @param unwritten hashes that the newest document does not hold as withdrawn
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
                LOGGER.info("withdrawals of an outage are written, configuration version {}", version);
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
