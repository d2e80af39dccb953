package org.banyanhook.core.command;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Set;
import org.banyanhook.core.configuration.ClientAccount;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;

/**
 * Adds a client account without keys.
 *
 * @param account the name of the account, new in the fleet
 * @param rate the requests per second over the whole fleet
 * @param burst the requests above the rate over the whole fleet
 * @param weight the share of a database's queue, relative to other accounts
 */
public record GrantAccount(String account, double rate, double burst, int weight) implements ConfigurationChange {

    @Override
    public String text() {
        return "grant account " + account + " rate=" + rate + " burst=" + burst + " weight=" + weight;
    }

    @Override
    public Set<String> subjects() {
        return ImmutableSet.of(
                "account/" + account + "/rate", "account/" + account + "/burst", "account/" + account + "/weight");
    }

    @Override
    public FleetConfiguration applyTo(FleetConfiguration configuration) throws RefusalException {
        if (configuration.account(account).isPresent()) {
            throw RefusalException.notRun(
                    RefusalKind.CONFIGURATION_INVALID,
                    "Client account " + account + " already exists; use 'set account' to change it.");
        }
        ClientAccount added = new ClientAccount(account, ImmutableList.of(), rate, burst, weight);
        return configuration.toBuilder()
                .accounts(ImmutableList.<ClientAccount>builder()
                        .addAll(configuration.accounts())
                        .add(added)
                        .build())
                .build();
    }
}
