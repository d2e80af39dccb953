package org.banyanhook.testbed.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.banyanhook.testbed.fleet.FleetScenario;

/**
 * The seeded arrivals of one client account. Not safe for use by several threads.
 *
 * <p>The probe account only writes, at regular times, on each database in turn.
 */
final class AccountLoad {

    /** The account whose writes show how long a database takes none. */
    static final FleetScenario.Account PROBE = new FleetScenario.Account("probe", 600, 600, 60);

    private static final int SESSIONS = 6;
    private static final double NANOS_PER_SECOND = 1e9;

    private final int number;
    private final FleetScenario.Account account;
    private final double readShare;
    private final double factor;
    private final Random random;
    private final RateBucket bucket;
    private final List<CallerSession> sessions = new ArrayList<>();
    private final boolean probe;
    private long dueNanos;
    private int nextProbe;

    AccountLoad(FleetScenario scenario, int number, double factor, long seed, String phase) {
        this.number = number;
        this.account = scenario.accounts().get(number);
        this.probe = account.equals(PROBE);
        this.readShare = probe ? 0 : scenario.readShare();
        this.factor = factor;
        this.random = new Random(seed * 1_000 + number);
        this.bucket = new RateBucket(account.ratePerSecond(), account.burst());
        for (int session = 0; session < SESSIONS; session++) {
            String database =
                    scenario.databases().get(session % scenario.databases().size());
            sessions.add(new CallerSession(phase + "-" + account.name() + "-" + session, database));
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

    /** Goes on to the request after the next one; exponential times between arrivals unless it is the probe. */
    void advance() {
        double mean = 1 / (account.offeredPerSecond() * factor);
        double seconds = probe ? mean : -Math.log(1 - random.nextDouble()) * mean;
        dueNanos += (long) (seconds * NANOS_PER_SECOND);
    }

    boolean nextIsRead() {
        return random.nextDouble() < readShare;
    }

    boolean nextIsWithinRate() {
        return bucket.take(dueNanos);
    }

    CallerSession nextSession() {
        int session = probe ? nextProbe++ % sessions.size() : random.nextInt(sessions.size());
        return sessions.get(session);
    }
}
