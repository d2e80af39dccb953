package org.banyanhook.core.command;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.Set;
import org.banyanhook.core.configuration.ClientAccount;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.error.RefusalException;

/**
 * Changes the limits of a client account.
 *
 * @param account the name of the account
 * @param rate the new rate in requests per second over the whole fleet, empty to keep the current one
 * @param burst the new burst in requests over the whole fleet, empty to keep the current one
 * @param weight the new weight, empty to keep the current one
 */
public record SetAccount(String account, Optional<Double> rate, Optional<Double> burst, Optional<Integer> weight)
        implements ConfigurationChange {

    @Override
    public String text() {
        return "set account " + account
                + rate.map(value -> " rate=" + value).orElse("")
                + burst.map(value -> " burst=" + value).orElse("")
                + weight.map(value -> " weight=" + value).orElse("");
    }

    @Override
    public Set<String> subjects() {
        ImmutableSet.Builder<String> subjects = ImmutableSet.builder();
        rate.ifPresent(value -> subjects.add("account/" + account + "/rate"));
        burst.ifPresent(value -> subjects.add("account/" + account + "/burst"));
        weight.ifPresent(value -> subjects.add("account/" + account + "/weight"));
        return subjects.build();
    }

    @Override
    public FleetConfiguration applyTo(FleetConfiguration configuration) throws RefusalException {
        return ConfigurationEdits.replaceAccount(configuration, account, this::withLimits);
    }

    private ClientAccount withLimits(ClientAccount original) {
        return new ClientAccount(
                original.name(),
                original.keys(),
                rate.orElse(original.ratePerSecond()),
                burst.orElse(original.burst()),
                weight.orElse(original.weight()));
    }
}
