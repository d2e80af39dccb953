package org.banyanhook.gateway.usage;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.usage.DutyCandidacy;
import org.banyanhook.gateway.fleet.DutyLease;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.port.StoreException;

/**
 * Takes, renews and gives up the duty of reporting usage. After each taking, nothing may be sent for the time within
 * which holders must not alternate: a former holder may have sent until its lease ended. Used on the event loop only.
 */
final class UsageLease {

    /** The name of the duty, by which daemons are ranked. */
    static final String DUTY = "usage";

    /**
     * Renewals are sent whether or not the one before was answered: waiting for the time-out of a lost answer would
     * take longer than the lease lasts. A renewal costs a tenth of a call.
     */
    private static final long RENEWAL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(450);

    /** A daemon that cannot take the duty leaves the store to others for this long. */
    private static final long RETRY_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);

    /**
     * How long a daemon leaves the duty to others after its start. If it held the duty before, its counts from then are
     * known to its successor only.
     */
    private static final long START_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    private final String entryVm;
    private final DutyLease lease;
    private final FleetDirectory directory;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final long alternationNanos;
    private boolean calling;
    private boolean holding;
    private boolean released;
    private boolean formerEnded;
    private long token;
    private long takenNanos;
    private long renewedNanos;
    private boolean vacant;
    private long vacantSinceNanos;
    private long notBeforeNanos;

    /**
     * Creates a lease that is not held.
     *
     * @param entryVm the name of this entry VM
     * @param lease the lease of the duty
     * @param directory tells which daemon holds the duty according to the store
     * @param leaseMillis the time within which two holders must not alternate, in milliseconds
     * @param clock the monotonic clock
     * @param log receives a line when the duty is lost or given up
     */
    UsageLease(
            String entryVm,
            DutyLease lease,
            FleetDirectory directory,
            long leaseMillis,
            MonotonicClock clock,
            DecisionLog log) {
        this.entryVm = entryVm;
        this.lease = lease;
        this.directory = directory;
        this.clock = clock;
        this.log = log;
        this.alternationNanos = TimeUnit.MILLISECONDS.toNanos(leaseMillis);
        this.notBeforeNanos = clock.nowNanos() + START_WAIT_NANOS;
    }

    /** Renews the lease, or takes it if it has been without a holder for long enough. */
    void tick() {
        long now = clock.nowNanos();
        boolean held = isHeld();
        if (holding && !held) {
            lose("expired");
        }
        if (calling || released) {
            return;
        }
        if (held) {
            if (now - renewedNanos >= RENEWAL_INTERVAL_NANOS) {
                renew(now);
            }
        } else if (isDue(now)) {
            take(now);
        }
    }

    private boolean isDue(long now) {
        Optional<String> holder = directory.usageDuty().map(FleetDirectory.HeldDuty::entryVm);
        if (holder.isPresent() && !holder.get().equals(entryVm)) {
            vacant = false;
            return false;
        }
        if (holder.isPresent() && token == 0) {
            endFormerLease();
            return false;
        }
        if (!vacant) {
            vacant = true;
            vacantSinceNanos = now;
        }
        if (!directory.daemons().containsKey(entryVm) || now - notBeforeNanos < 0) {
            return false;
        }
        long delayMillis =
                DutyCandidacy.delayMillis(DUTY, entryVm, directory.daemons().keySet());
        return holder.isPresent() || now - vacantSinceNanos >= TimeUnit.MILLISECONDS.toNanos(delayMillis);
    }

    /** Ends the lease of the process before a restart, so that another daemon need not wait until it expires. */
    private void endFormerLease() {
        if (!formerEnded) {
            formerEnded = true;
            var unused = lease.endFormerLease();
        }
    }

    private void take(long now) {
        calling = true;
        lease.acquire().whenComplete((acquired, failure) -> {
            calling = false;
            if (failure != null) {
                vacant = false;
                notBeforeNanos = now + RETRY_INTERVAL_NANOS;
                return;
            }
            if (released) {
                var unused = lease.release();
                return;
            }
            token = acquired.fencingToken();
            holding = true;
            renewedNanos = now;
            takenNanos = clock.nowNanos();
        });
    }

    private void renew(long now) {
        renewedNanos = now;
        long renewedToken = token;
        lease.acquire().whenComplete((renewed, failure) -> {
            boolean ended = StoreException.kind(failure) == StoreException.Kind.LEASE_ENDED;
            boolean current = holding && token == renewedToken;
            if (current && ended) {
                lose("ended in the store");
            } else if (current && renewed != null && renewed.fencingToken() != renewedToken) {
                // It had expired just before the call, so that others may have held the duty in between.
                lose("taken anew");
            }
        });
    }

    private void lose(String reason) {
        // The record may outlast the lease here, for example after the wall clock was set.
        var unused = lease.release();
        recordLoss(reason);
    }

    /** Stops holding the duty, because the store was restored from a copy and may not contain its record. */
    void onStoreRestored() {
        lease.drop();
        // Also a daemon that did not hold the duty waits: the former holder may not have heard of the restore.
        vacant = false;
        notBeforeNanos = clock.nowNanos() + alternationNanos;
        if (holding) {
            recordLoss("the store was restored");
        }
    }

    private void recordLoss(String reason) {
        holding = false;
        vacant = false;
        notBeforeNanos = clock.nowNanos() + alternationNanos;
        log.line("usage-duty")
                .with("token", token)
                .with("change", "lost")
                .with("reason", reason)
                .write();
    }

    /** Gives the duty up for good, so that another daemon can take it at once. */
    CompletableFuture<Void> release() {
        released = true;
        if (!holding) {
            return CompletableFuture.completedFuture(null);
        }
        holding = false;
        log.line("usage-duty").with("token", token).with("change", "given-up").write();
        return lease.release();
    }

    /** Returns whether this daemon holds the duty and its lease cannot have expired. */
    boolean isHeld() {
        return holding && lease.isHeld();
    }

    /** Returns whether a report may be sent. */
    boolean maySend() {
        return isHeld() && clock.nowNanos() - takenNanos >= alternationNanos;
    }

    /** Returns the fencing token of the lease. */
    long token() {
        return token;
    }

    /** Returns when the duty was taken, by the monotonic clock. */
    long takenNanos() {
        return takenNanos;
    }
}
