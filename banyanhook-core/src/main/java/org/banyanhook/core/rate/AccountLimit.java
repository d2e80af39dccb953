package org.banyanhook.core.rate;

import org.banyanhook.core.configuration.ClientAccount;

/**
 * The part of an account's rate and burst that one process holds.
 *
 * @param tokensPerSecond the rate of accrual
 * @param capacityMicros the capacity in millionths of a token, rounded down
 */
public record AccountLimit(double tokensPerSecond, long capacityMicros) {

    /** The limit of a process that holds nothing. */
    public static final AccountLimit NONE = new AccountLimit(0, 0);

    /**
     * Computes the part of an account.
     *
     * @param account the account
     * @param domainFraction the fraction that belongs to the failure domain, from 0 to 1
     * @param units the units of the account's group that the process holds
     * @return its limit
     */
    public static AccountLimit of(ClientAccount account, double domainFraction, int units) {
        double fraction = domainFraction * units / AllotmentRecord.UNITS_PER_GROUP;
        return new AccountLimit(account.ratePerSecond() * fraction, Tokens.toMicros(account.burst() * fraction));
    }
}
