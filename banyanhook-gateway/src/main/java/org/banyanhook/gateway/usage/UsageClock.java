package org.banyanhook.gateway.usage;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.banyanhook.core.routing.RendezvousScores;
import org.banyanhook.core.usage.TrueTimeEstimate;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.operation.MonotonicClock;

/** Keeps the estimate of true time up to date by asking a few other daemons. Used on the event loop only. */
final class UsageClock {

    /** With the own clock, the median tolerates three wrong ones. */
    private static final int ASKED_DAEMONS = 7;

    /** Oscillators drift by far less than a millisecond in this time. */
    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    private static final long INTERVAL_WHILE_UNCONFIRMED_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** How long counting does not settle windows while only the own clock is known. */
    private static final long CONFIRMATION_WAIT_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final String entryVm;
    private final FleetDirectory directory;
    private final MonotonicClock clock;
    private final LongSupplier wallClockMillis;
    private final TrueTimeEstimate estimate;
    private final long startedNanos;
    private boolean due = true;
    private long askedNanos;

    /** Asks a daemon for its time, and passes the reply to {@link UsageClock#onReply}. */
    @FunctionalInterface
    interface Inquiry {
        void ask(String daemon);
    }

    UsageClock(String entryVm, FleetDirectory directory, MonotonicClock clock, LongSupplier wallClockMillis) {
        this.entryVm = entryVm;
        this.directory = directory;
        this.clock = clock;
        this.wallClockMillis = wallClockMillis;
        this.startedNanos = clock.nowNanos();
        this.estimate = new TrueTimeEstimate(startedNanos, wallClockMillis.getAsLong());
        clock.addJumpListener(() -> {
            estimate.onClockJump();
            due = true;
        });
    }

    TrueTimeEstimate estimate() {
        return estimate;
    }

    long trueMillis() {
        return estimate.trueMillis(clock.nowNanos());
    }

    /** Returns the time of the monotonic clock, in milliseconds. */
    long steadyMillis() {
        return TimeUnit.NANOSECONDS.toMillis(clock.nowNanos());
    }

    long wallMillis() {
        return wallClockMillis.getAsLong();
    }

    /** Returns whether the estimate is good enough to close windows by it. */
    boolean isUsable() {
        return estimate.isConfirmed() || clock.nowNanos() - startedNanos >= CONFIRMATION_WAIT_NANOS;
    }

    void tick(Inquiry inquiry) {
        long now = clock.nowNanos();
        estimate.readOwnClock(now, wallClockMillis.getAsLong());
        long interval = estimate.isConfirmed() ? INTERVAL_NANOS : INTERVAL_WHILE_UNCONFIRMED_NANOS;
        if (due || now - askedNanos >= interval) {
            List<String> asked = askedDaemons();
            due = asked.isEmpty() && now - startedNanos < CONFIRMATION_WAIT_NANOS;
            askedNanos = now;
            asked.forEach(inquiry::ask);
        }
    }

    /** Chooses by rendezvous hashing, so that the connections to these daemons are kept. */
    private List<String> askedDaemons() {
        long ownHash = RendezvousScores.nameHash(entryVm);
        return directory.daemons().keySet().stream()
                .filter(daemon -> !daemon.equals(entryVm))
                .sorted(Comparator.comparingLong(
                        daemon -> RendezvousScores.score(ownHash, RendezvousScores.nameHash(daemon))))
                .limit(ASKED_DAEMONS)
                .toList();
    }

    /** Handles the time in a daemon's reply. */
    void onReply(String daemon, long sentNanos, long wallMillis) {
        long now = clock.nowNanos();
        if (!clock.jumpedSince(sentNanos)) {
            estimate.addSample(daemon, sentNanos, now, wallMillis);
        }
    }
}
