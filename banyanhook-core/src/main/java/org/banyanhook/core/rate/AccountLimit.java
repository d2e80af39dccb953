package org.banyanhook.core.rate;

import org.banyanhook.core.configuration.ClientAccount;

/**
 * The share of a client account's rate and burst that is allotted to one process.
 *
 * @param tokensPerSecond the rate at which tokens accrue
 * @param capacityMicros the capacity in millionths of a token, rounded down
 */
public record AccountLimit(double tokensPerSecond, long capacityMicros) {

    /** The limit of a process without an allotment. */
    public static final AccountLimit NONE = new AccountLimit(0, 0);

    /**
     * Computes the limit of one process for a client account.
     *
     * @param account the account
     * @param domainFraction the fraction of the account's rate that belongs to the failure domain, from 0 to 1
     * @param units the units of the account's group that the process holds
     * @return the limit of the process
     */
    public static AccountLimit of(ClientAccount account, double domainFraction, int units) {
        double fraction = domainFraction * units / AllotmentRecord.UNITS_PER_GROUP;
        return new AccountLimit(account.ratePerSecond() * fraction, Tokens.toMicros(account.burst() * fraction));
    }
}
