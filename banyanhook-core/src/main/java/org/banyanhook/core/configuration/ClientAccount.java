package org.banyanhook.core.configuration;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * A client account with its keys and its fleet-wide limits.
 *
 * @param name the name of the account
 * @param keys the granted keys; a withdrawn key remains listed here and is also listed in the withdrawals
 * @param ratePerSecond accepted requests per second over the whole fleet
 * @param burst accepted requests above the rate in any window, over the whole fleet
 * @param weight the share of a database's queue, relative to other accounts
 */
public record ClientAccount(String name, List<GrantedKey> keys, double ratePerSecond, double burst, int weight) {
    public ClientAccount {
        checkArgument(ratePerSecond >= 0, "ratePerSecond of account %s must not be negative", name);
        checkArgument(burst >= 0, "burst of account %s must not be negative", name);
        checkArgument(weight > 0, "weight of account %s must be positive", name);
        keys = ImmutableList.copyOf(keys);
    }
}
