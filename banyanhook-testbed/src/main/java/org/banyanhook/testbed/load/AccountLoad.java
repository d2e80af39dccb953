package org.banyanhook.testbed.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.banyanhook.testbed.fleet.FleetScenario;

/** The seeded arrivals of one client account. Not safe for use by several threads. */
final class AccountLoad {

    private static final int SESSIONS = 6;
    private static final double NANOS_PER_SECOND = 1e9;

    private final int number;
    private final FleetScenario.Account account;
    private final double readShare;
    private final double factor;
    private final Random random;
    private final RateBucket bucket;
    private final List<CallerSession> sessions = new ArrayList<>();
    private long dueNanos;

    AccountLoad(FleetScenario scenario, int number, double factor, long seed) {
        this.number = number;
        this.account = scenario.accounts().get(number);
        this.readShare = scenario.readShare();
        this.factor = factor;
        this.random = new Random(seed * 1_000 + number);
        this.bucket = new RateBucket(account.ratePerSecond(), account.burst());
        for (int session = 0; session < SESSIONS; session++) {
            String database =
                    scenario.databases().get(session % scenario.databases().size());
            sessions.add(new CallerSession(account.name() + "-" + session, database));
        }
        advance();
    }

    int number() {
        return number;
    }

    String account() {
        return account.name();
    }

    /** Returns when the next request is due, in nanoseconds since the load began. */
    long dueNanos() {
        return dueNanos;
    }

    /** Goes on to the request after the next one; exponential times between arrivals. */
    void advance() {
        double seconds = -Math.log(1 - random.nextDouble()) / (account.offeredPerSecond() * factor);
        dueNanos += (long) (seconds * NANOS_PER_SECOND);
    }

    boolean nextIsRead() {
        return random.nextDouble() < readShare;
    }

    boolean nextIsWithinRate() {
        return bucket.take(dueNanos);
    }

    CallerSession nextSession() {
        return sessions.get(random.nextInt(sessions.size()));
    }
}
