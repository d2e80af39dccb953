package org.banyanhook.core.rate;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that tokens accrue only within the lease, and that loans never create tokens. */
final class TokenBucketTest {

    private static final long TOKEN = Tokens.MICROS_PER_TOKEN;
    private static final long SECOND = 1_000_000_000;

    /**
     * Columns: the elapsed seconds, the second at which the lease expires, and the own tokens of a bucket that was
     * empty, with capacity 5 and 2 tokens per second.
     */
    @ParameterizedTest
    @CsvSource({"1, 9, 2", "9, 9, 5", "3, 1, 2", "3, 0, 0", "3, -5, 0"})
    void accruesOnlyUntilTheLeaseExpires(long seconds, long leaseExpirySeconds, long tokens) {
        TokenBucket bucket = bucket();
        bucket.accrue(seconds * SECOND, leaseExpirySeconds * SECOND);
        assertThat(bucket.ownMicros()).isEqualTo(tokens * TOKEN);
    }

    @Test
    void accruesNothingForTheTimeWithoutALease() {
        TokenBucket bucket = bucket();
        bucket.accrue(60 * SECOND, SECOND);
        bucket.accrue(61 * SECOND, 90 * SECOND);
        assertThat(bucket.ownMicros()).isEqualTo(4 * TOKEN);
    }

    @Test
    void capacityOfLentTokensIsReservedUntilTheLoanExpires() {
        TokenBucket bucket = bucket();
        bucket.accrue(10 * SECOND, 90 * SECOND);
        assertThat(bucket.lend(3 * TOKEN, 20 * SECOND)).isEqualTo(3 * TOKEN);
        bucket.accrue(19 * SECOND, 90 * SECOND);
        assertThat(bucket.ownMicros()).isEqualTo(2 * TOKEN);
        bucket.accrue(21 * SECOND, 90 * SECOND);
        assertThat(bucket.ownMicros()).isEqualTo(5 * TOKEN);
    }

    @Test
    void borrowedTokensAreSpentFirstAndExpire() {
        TokenBucket bucket = bucket();
        bucket.accrue(SECOND, 90 * SECOND);
        bucket.borrow(2 * TOKEN, 3 * SECOND);
        assertThat(bucket.spend(TOKEN, true)).isTrue();
        assertThat(bucket.borrowedMicros()).isEqualTo(TOKEN);
        assertThat(bucket.spend(2 * TOKEN, false)).isFalse();
        bucket.accrue(3 * SECOND, SECOND);
        assertThat(bucket.availableMicros(true)).isEqualTo(2 * TOKEN);
    }

    @Test
    void smallerCapacityDiscardsTokens() {
        TokenBucket bucket = bucket();
        bucket.accrue(10 * SECOND, 90 * SECOND);
        bucket.setLimit(TOKEN, 2);
        assertThat(bucket.ownMicros()).isEqualTo(TOKEN);
        bucket.setLimit(5 * TOKEN, 2);
        assertThat(bucket.ownMicros()).isEqualTo(TOKEN);
    }

    /**
     * Guards against loans, whether lost, late or in time, that make more tokens spendable than the sum of the
     * capacities.
     */
    @Test
    void availableTokensOfAllBucketsStayWithinTheCapacities() {
        for (long seed = 1; seed <= 300; seed++) {
            Random random = new Random(seed);
            TokenBucket[] buckets = {bucket(), bucket(), bucket()};
            for (int step = 1; step <= 400; step++) {
                long now = step * SECOND / 20;
                long available = 0;
                for (TokenBucket bucket : buckets) {
                    bucket.accrue(now, Long.MAX_VALUE);
                    available += bucket.availableMicros(true);
                }
                assertWithMessage("seed %s step %s", seed, step).that(available).isAtMost(15 * TOKEN);
                if (random.nextInt(40) == 0) {
                    long requested = now - random.nextInt(100_000_000);
                    long lent = buckets[random.nextInt(3)].lend(3 * TOKEN, now + 250_000_000);
                    buckets[random.nextInt(3)].borrow(random.nextInt(4) == 0 ? 0 : lent, requested + 200_000_000);
                }
                if (random.nextInt(16) == 0) {
                    buckets[random.nextInt(3)].spend(TOKEN, true);
                }
            }
        }
    }

    private static TokenBucket bucket() {
        TokenBucket bucket = new TokenBucket(0);
        bucket.setLimit(5 * TOKEN, 2);
        return bucket;
    }
}
