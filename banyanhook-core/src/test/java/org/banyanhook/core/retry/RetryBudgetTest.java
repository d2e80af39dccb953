package org.banyanhook.core.retry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests that retries stay within the budget of each account, so that they cannot amplify an overload. */
class RetryBudgetTest {

    @Test
    void retriesStayWithinTheFractionOfRequests() {
        for (long seed = 1; seed <= 100; seed++) {
            Random random = new Random(seed);
            RetryBudget budget = new RetryBudget(0.1, 10);
            int requests = 0;
            int retries = 0;
            for (int step = 0; step < 2000; step++) {
                if (random.nextBoolean()) {
                    budget.recordRequest("acme");
                    requests++;
                } else if (budget.tryAcquireRetry("acme")) {
                    retries++;
                }
                assertWithMessage("seed %s", seed).that((double) retries).isAtMost(10 + 0.1 * requests + 1e-6);
            }
        }
    }

    @Test
    void eachAccountHasItsOwnBudget() {
        RetryBudget budget = new RetryBudget(0, 1);
        assertThat(budget.tryAcquireRetry("acme")).isTrue();
        assertThat(budget.tryAcquireRetry("acme")).isFalse();
        assertThat(budget.tryAcquireRetry("other")).isTrue();
    }
}
