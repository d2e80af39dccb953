package org.banyanhook.core.rate;

import static com.google.common.truth.Truth.assertThat;
import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/**
 * Replays, in virtual time, accounts of a few requests a second that come through any entry VM of a large fleet. Guards
 * against requests within the rate of their account that are refused, or wait, because the account's tokens are spread
 * over more holders than it has tokens.
 */
final class TokenReplayTest {

    private static final int ENTRY_VMS = 63;
    private static final int DOMAINS = 6;
    private static final int ACCOUNTS = 60;
    private static final long MILLIS = 1_000_000L;
    private static final long TICK_NANOS = 200 * MILLIS;
    private static final long DURATION_NANOS = 60_000 * MILLIS;
    private static final long MAXIMUM_WAIT_NANOS = 250 * MILLIS;

    /** The limit of an account in relation to what it sends. */
    private static final double HEADROOM = 1.6;

    private static final UnaryOperator<String> REGION_OF = domain -> "region-" + domain.charAt(7) % 3;

    private final Random random = new Random(7);
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::number));
    private final Map<String, String> domains = new TreeMap<>();
    private final Map<String, TokenExchange> exchanges = new HashMap<>();
    private final Map<Long, Long> arrivals = new HashMap<>();
    private final List<Long> waits = new ArrayList<>();
    private long lastNumber;
    private int refused;
    private long now;

    private record Event(long atNanos, long number, Runnable action) {}

    @Test
    void requestsOfSmallAccountsAreAcceptedSoon() {
        run();

        waits.sort(Comparator.naturalOrder());
        double refusedShare = refused / (double) (refused + waits.size());
        long median = waits.get(waits.size() / 2) / MILLIS;
        long ninetieth = waits.get(waits.size() * 9 / 10) / MILLIS;
        // A request to another region and back takes 20 ms; a caller's objective leaves room for two of them.
        assertThat(median).isAtMost(20);
        assertThat(ninetieth).isAtMost(60);
        assertThat(refusedShare).isLessThan(0.05);
    }

    private void run() {
        for (int number = 0; number < ENTRY_VMS; number++) {
            domains.put("edge-" + number, "domain-" + number % DOMAINS);
        }
        TokenHolders fleet = new TokenHolders(domains, REGION_OF);
        Map<String, TokenHolders.Holders> holders = new HashMap<>();
        Map<String, Double> rates = new TreeMap<>();
        for (int number = 0; number < ACCOUNTS; number++) {
            String account = "account-" + number;
            // From 1 to 8 requests a second; the burst is what accrues in a second.
            rates.put(account, HEADROOM * (1 + 7.0 * number / ACCOUNTS));
            holders.put(account, fleet.choose(account, known(rates, account)));
        }
        domains.forEach((entryVm, domain) -> exchanges.put(entryVm, exchange(entryVm, domain, holders, rates)));
        rates.forEach((account, rate) -> scheduleArrival(0, account, rate / HEADROOM));
        domains.keySet().forEach(entryVm -> at(random.nextLong(TICK_NANOS), () -> tick(entryVm)));
        while (!events.isEmpty() && events.peek().atNanos() < DURATION_NANOS) {
            now = events.peek().atNanos();
            events.remove().action().run();
        }
    }

    private TokenExchange exchange(
            String entryVm, String domain, Map<String, TokenHolders.Holders> holders, Map<String, Double> rates) {
        Function<String, List<String>> peers =
                account -> known(holders, account).nearestFirst(entryVm, domain, REGION_OF);
        TokenExchange exchange = new TokenExchange(RateTimings.DEFAULT, peers, 100, 0);
        Map<String, AccountLimit> limits = new TreeMap<>();
        rates.forEach((account, rate) -> {
            TokenHolders.Holders chosen = known(holders, account);
            limits.put(
                    account,
                    chosen.contains(entryVm)
                            ? new AccountLimit(rate / chosen.count(), Tokens.toMicros(rate / chosen.count()))
                            : AccountLimit.NONE);
        });
        exchange.setLimits(limits, 0);
        return exchange;
    }

    private void scheduleArrival(long fromNanos, String account, double perSecond) {
        long next = fromNanos + (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9);
        at(next, () -> {
            String entryVm = "edge-" + random.nextInt(ENTRY_VMS);
            long number = ++lastNumber;
            arrivals.put(number, now);
            perform(
                    entryVm,
                    known(exchanges, entryVm).acquire(account, number, now + MAXIMUM_WAIT_NANOS, Long.MAX_VALUE, now));
            scheduleArrival(now, account, perSecond);
        });
    }

    private void tick(String entryVm) {
        perform(entryVm, known(exchanges, entryVm).onTick(Long.MAX_VALUE, now));
        at(now + TICK_NANOS, () -> tick(entryVm));
    }

    private void perform(String entryVm, List<TokenAction> actions) {
        for (TokenAction action : actions) {
            if (action instanceof TokenAction.Accept accepted) {
                waits.add(now - requireNonNull(arrivals.remove(accepted.requestNumber())));
            } else if (action instanceof TokenAction.Refuse) {
                refused++;
            } else if (action instanceof TokenAction.RequestTokens ask) {
                request(entryVm, ask.request());
            }
        }
    }

    private void request(String entryVm, PendingTokenRequests.Request request) {
        long delay = oneWayNanos(entryVm, request.peer());
        at(now + delay, () -> {
            LendingDecision decision = known(exchanges, request.peer())
                    .lend(request.clientAccount(), request.micros(), false, Long.MAX_VALUE, now);
            at(
                    now + delay,
                    () -> perform(
                            entryVm,
                            known(exchanges, entryVm)
                                    .onTransfer(
                                            request.sequence(),
                                            decision.lentMicros(),
                                            decision.lendableMicros(),
                                            Long.MAX_VALUE,
                                            now)));
        });
    }

    private long oneWayNanos(String from, String to) {
        String fromDomain = known(domains, from);
        String toDomain = known(domains, to);
        if (fromDomain.equals(toDomain)) {
            return MILLIS;
        }
        return REGION_OF.apply(fromDomain).equals(REGION_OF.apply(toDomain)) ? 2 * MILLIS : 10 * MILLIS;
    }

    private static <V> V known(Map<String, V> map, String key) {
        return requireNonNull(map.get(key), key);
    }

    private void at(long nanos, Runnable action) {
        events.add(new Event(nanos, ++lastNumber, action));
    }
}
