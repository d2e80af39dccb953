package org.banyanhook.core.retry;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits retries to a fraction of each client account's recent requests, so that retries cannot amplify an overload.
 *
 * <p>Every request adds a fraction of a retry to the account's balance, up to a maximum; every retry takes one. Not
 * safe for use by several threads.
 */
public final class RetryBudget {

    private final double retriesPerRequest;
    private final double maximumRetries;
    private final Map<String, Double> balances = new HashMap<>();

    /**
     * Creates a budget.
     *
     * @param retriesPerRequest the fraction of requests that may be retried, from 0 to 1
     * @param maximumRetries the maximum balance of an account, at least 1; also its initial balance
     */
    public RetryBudget(double retriesPerRequest, double maximumRetries) {
        checkArgument(
                retriesPerRequest >= 0 && retriesPerRequest <= 1,
                "retriesPerRequest must be from 0 to 1, was %s",
                retriesPerRequest);
        checkArgument(maximumRetries >= 1, "maximumRetries must be at least 1, was %s", maximumRetries);
        this.retriesPerRequest = retriesPerRequest;
        this.maximumRetries = maximumRetries;
    }

    /**
     * Records a request that is not a retry.
     *
     * @param account the name of the client account
     */
    public void recordRequest(String account) {
        balances.put(account, Math.min(maximumRetries, balance(account) + retriesPerRequest));
    }

    /**
     * Takes one retry from the budget of an account, if available.
     *
     * @param account the name of the client account
     * @return true if the request may be sent again
     */
    public boolean tryAcquireRetry(String account) {
        double balance = balance(account);
        if (balance < 1) {
            return false;
        }
        balances.put(account, balance - 1);
        return true;
    }

    private double balance(String account) {
        return balances.getOrDefault(account, maximumRetries);
    }
}
