package org.banyanhook.core.rate;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.banyanhook.core.rate.TokenAction.Accept;
import org.banyanhook.core.rate.TokenAction.Refuse;
import org.banyanhook.core.rate.TokenAction.RequestTokens;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests how waiting requests are served, and that tokens are lent and transfers applied at most once and in time. */
final class TokenExchangeTest {

    private static final long TOKEN = Tokens.MICROS_PER_TOKEN;
    private static final long MILLI = 1_000_000;
    private static final long FOREVER = Long.MAX_VALUE;

    private final TokenExchange exchange =
            new TokenExchange(RateTimings.DEFAULT, account -> List.of("near", "far"), 100, 0);

    @BeforeEach
    void setAccountLimit() {
        exchange.setLimits(Map.of("hanbit", new AccountLimit(1, 2 * TOKEN)), 0);
    }

    @Test
    void requestWithoutATokenAsksPeersThenWaitsThenIsRefused() {
        List<TokenAction> first = exchange.acquire("hanbit", 1, 100 * MILLI, FOREVER, 0);
        RequestTokens sent = (RequestTokens) first.get(0);
        assertThat(sent.request().peer()).isEqualTo("near");
        assertThat(sent.request().micros()).isEqualTo(TOKEN);
        RequestTokens second =
                (RequestTokens) exchange.onTransfer(sent.request().sequence(), 0, 0, FOREVER, MILLI)
                        .get(0);
        assertThat(second.request().peer()).isEqualTo("far");
        assertThat(exchange.onTokenRequestFailed(second.request().sequence(), FOREVER, 2 * MILLI))
                .isEmpty();
        assertThat(exchange.onTick(FOREVER, 101 * MILLI).get(0)).isInstanceOf(Refuse.class);
    }

    /** Guards against requests that wait for the nearest holder for most of their time while it is cut off. */
    @Test
    void anotherPeerIsAskedIfOneDoesNotAnswerAndFirstForOtherAccounts() {
        exchange.setLimits(Map.of("hanbit", AccountLimit.NONE, "vossberg", AccountLimit.NONE), 0);
        RequestTokens first = (RequestTokens)
                exchange.acquire("hanbit", 1, 250 * MILLI, FOREVER, 0).get(0);
        assertThat(exchange.onTick(FOREVER, 40 * MILLI)).isEmpty();
        RequestTokens second =
                (RequestTokens) exchange.onTick(FOREVER, 80 * MILLI).get(0);
        assertThat(second.request().peer()).isEqualTo("far");
        assertThat(exchange.onTransfer(second.request().sequence(), TOKEN, 0, FOREVER, 90 * MILLI))
                .containsExactly(new Accept(1));
        RequestTokens other = (RequestTokens) exchange.acquire("vossberg", 2, 350 * MILLI, FOREVER, 100 * MILLI)
                .get(0);
        assertThat(other.request().peer()).isEqualTo("far");

        exchange.onTransfer(first.request().sequence(), 0, 0, FOREVER, 120 * MILLI);
        RequestTokens nearAgain = (RequestTokens)
                exchange.acquire("hanbit", 3, 500 * MILLI, FOREVER, 250 * MILLI).get(0);
        assertThat(nearAgain.request().peer()).isEqualTo("near");
    }

    /** Guards against requests of an account over its rate that wait although no holder will be asked in their time. */
    @Test
    void requestIsRefusedAtOnceWhileAllPeersBackOffForLongerThanItMayWait() {
        exchange.setLimits(Map.of("hanbit", AccountLimit.NONE), 0);
        long now = 0;
        for (int round = 0; round < 5; round++) {
            List<TokenAction> actions = exchange.acquire("hanbit", round, now + 250 * MILLI, FOREVER, now);
            while (!actions.isEmpty() && actions.get(0) instanceof RequestTokens asked) {
                actions = exchange.onTokenRequestFailed(asked.request().sequence(), FOREVER, now);
            }
            now += 900 * MILLI;
            exchange.onTick(FOREVER, now);
        }
        long during = now - 850 * MILLI;
        List<TokenAction> refused = exchange.acquire("hanbit", 100, during + 250 * MILLI, FOREVER, during);
        assertThat(refused).hasSize(1);
        assertThat(((Refuse) refused.get(0)).requestNumber()).isEqualTo(100);
        List<TokenAction> patient = exchange.acquire("hanbit", 101, during + 2_000 * MILLI, FOREVER, during);
        assertThat(patient).isEmpty();
    }

    /** A busy process looks at a waiting request only after its time, when enough tokens have accrued for it. */
    @Test
    void tokensAccruedInTheMeantimeAreGivenOutBeforeRequestsAreRefused() {
        exchange.acquire("hanbit", 1, 100 * MILLI, FOREVER, 0);
        exchange.acquire("hanbit", 2, 100 * MILLI, FOREVER, 0);
        exchange.acquire("hanbit", 3, 100 * MILLI, FOREVER, 0);
        List<TokenAction> actions = exchange.onTick(FOREVER, 2_100 * MILLI);
        assertThat(actions.subList(0, 2))
                .containsExactly(new Accept(1), new Accept(2))
                .inOrder();
        assertThat(((Refuse) actions.get(2)).requestNumber()).isEqualTo(3);
    }

    @Test
    void requestThatMayNotWaitIsDecidedAtOnce() {
        List<TokenAction> refused = exchange.acquire("hanbit", 1, 0, FOREVER, 0);
        assertThat(refused).hasSize(1);
        assertThat(((Refuse) refused.get(0)).requestNumber()).isEqualTo(1);
        assertThat(exchange.acquire("hanbit", 2, 1_000 * MILLI, FOREVER, 1_000 * MILLI))
                .containsExactly(new Accept(2));
    }

    @Test
    void transferIsAppliedOnceAndNotAfterItExpired() {
        RequestTokens sent = (RequestTokens)
                exchange.acquire("hanbit", 1, 500 * MILLI, FOREVER, 0).get(0);
        long sequence = sent.request().sequence();
        assertThat(exchange.onTransfer(sequence, TOKEN, 0, FOREVER, MILLI)).containsExactly(new Accept(1));
        assertThat(exchange.onTransfer(sequence, TOKEN, 0, FOREVER, MILLI)).isEmpty();
        RequestTokens late = (RequestTokens)
                exchange.acquire("hanbit", 2, 900 * MILLI, FOREVER, MILLI).get(0);
        assertThat(exchange.onTransfer(late.request().sequence(), TOKEN, 0, FOREVER, 300 * MILLI).stream()
                        .filter(Accept.class::isInstance))
                .isEmpty();
    }

    @Test
    void lendsWholeTokensUnlessOwnRequestsWait() {
        exchange.onTick(FOREVER, 0);
        assertThat(exchange.lend("hanbit", 3 * TOKEN, false, FOREVER, 1_500 * MILLI)
                        .lentMicros())
                .isEqualTo(TOKEN);
        exchange.acquire("hanbit", 1, 5_000 * MILLI, FOREVER, 1_500 * MILLI);
        assertThat(exchange.lend("hanbit", TOKEN, true, FOREVER, 1_600 * MILLI).lentMicros())
                .isEqualTo(0);
    }

    @Test
    void withoutALeaseNoOwnTokenIsSpentOrLent() {
        long leaseExpiry = 2_000 * MILLI;
        exchange.accrueAll(2_000 * MILLI, leaseExpiry);
        assertThat(exchange.lend("hanbit", TOKEN, false, leaseExpiry, 2_000 * MILLI)
                        .lentMicros())
                .isEqualTo(0);
        assertThat(exchange.acquire("hanbit", 1, 9_000 * MILLI, leaseExpiry, 2_000 * MILLI)
                        .get(0))
                .isInstanceOf(RequestTokens.class);
    }

    @Test
    void accountWithoutALimitIsRefused() {
        assertThat(exchange.acquire("unknown", 1, 0, FOREVER, 0).get(0)).isInstanceOf(Refuse.class);
        exchange.setLimits(Map.of(), 5_000 * MILLI);
        assertThat(exchange.acquire("hanbit", 2, 0, FOREVER, 5_000 * MILLI).get(0))
                .isInstanceOf(Refuse.class);
    }

    @Test
    void fractionsOfTokensAreLentToTheBorrowerWithPriority() {
        exchange.setLimits(Map.of("hanbit", new AccountLimit(1, TOKEN / 2)), 0);
        exchange.acquire("hanbit", 1, 9_000 * MILLI, FOREVER, 1_000 * MILLI);
        assertThat(exchange.lend("hanbit", TOKEN / 2, false, FOREVER, 1_000 * MILLI)
                        .lentMicros())
                .isEqualTo(0);
        LendingDecision whole = exchange.lend("hanbit", TOKEN, true, FOREVER, 1_000 * MILLI);
        assertThat(whole.lentMicros()).isEqualTo(0);
        assertThat(whole.lendableMicros()).isEqualTo(TOKEN / 2);
        assertThat(exchange.lend("hanbit", TOKEN / 2, true, FOREVER, 1_000 * MILLI)
                        .lentMicros())
                .isEqualTo(TOKEN / 2);
    }

    @Test
    void fractionsOfOneTokenAreRequestedOnlyIfTheHintsSuffice() {
        RequestTokens near = (RequestTokens)
                exchange.acquire("hanbit", 1, 500 * MILLI, FOREVER, 0).get(0);
        RequestTokens far =
                (RequestTokens) exchange.onTransfer(near.request().sequence(), 0, TOKEN * 6 / 10, FOREVER, 0)
                        .get(0);
        List<TokenAction> parts = exchange.onTransfer(far.request().sequence(), 0, TOKEN * 7 / 10, FOREVER, 0);
        assertThat(parts.stream()
                        .map(action -> ((RequestTokens) action).request().micros()))
                .containsExactly(TOKEN * 7 / 10, TOKEN * 3 / 10)
                .inOrder();
    }
}
