package org.banyanhook.gateway.backend;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.core.routing.LatencyEstimate;
import org.banyanhook.core.routing.WarmUpLimiter;
import org.banyanhook.core.scheduling.LearnedCapacity;
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.gateway.port.MemberEntry;
import org.jspecify.annotations.Nullable;

/** The known state of a member of a database group, and the connections to it. Used on the event loop only. */
public final class MemberServer {

    private static final long INITIAL_LATENCY_NANOS = TimeUnit.MILLISECONDS.toNanos(15);

    /** The delay before an unreachable member is tried again; doubled with each failure up to the maximum. */
    private static final long MINIMUM_RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final long MAXIMUM_RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    /** How long a replica is not used after its log had not reached a required position. */
    private static final long LAGGING_EXCLUSION_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** How long no connection is added after the member refused one; idle ones may still be replaced. */
    private static final long CONNECTION_REFUSAL_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final List<MemberConnection> connections = new ArrayList<>();
    private final List<MemberConnection> homeConnections = new ArrayList<>();
    private final LatencyEstimate latency;
    private final LearnedCapacity capacity;
    private final WarmUpLimiter warmUp;
    private MemberEntry entry;
    private StoreRevision primarySinceRevision;
    private long primaryReportedNanos;
    private boolean listed = true;
    private LogPosition position = LogPosition.START;
    private int consecutiveFailures;
    private long firstFailureNanos;
    private long lastFailureNanos;
    private long retryAtNanos;
    private long laggingUntilNanos;
    private long connectionPauseUntilNanos;
    private boolean primaryReportRejected;
    private long termSinceReport;
    private long lastAnswerNanos;

    MemberServer(MemberEntry entry, StoreRevision primarySinceRevision, long nowNanos) {
        this.entry = entry;
        this.primarySinceRevision = primarySinceRevision;
        this.primaryReportedNanos = nowNanos;
        this.latency = new LatencyEstimate(INITIAL_LATENCY_NANOS, nowNanos);
        this.capacity = new LearnedCapacity(entry.slots(), nowNanos);
        this.warmUp = new WarmUpLimiter(nowNanos);
        this.warmUp.recordRemainingWarmUp(entry.warmUpMillis(), nowNanos);
        this.retryAtNanos = nowNanos;
        this.lastAnswerNanos = nowNanos;
        this.laggingUntilNanos = nowNanos;
        this.connectionPauseUntilNanos = nowNanos;
    }

    /** Returns the member's own entry in the store. */
    public MemberEntry entry() {
        return entry;
    }

    /** Returns its name. */
    public String name() {
        return entry.member();
    }

    /** Returns the end of its log according to its last answer that contained a position. */
    public LogPosition position() {
        return position;
    }

    /** Returns whether it reports that it is the primary, and none of its answers has contradicted the report. */
    public boolean reportsPrimary() {
        return primarySinceRevision().isAfter(StoreRevision.NONE);
    }

    /** Returns the revision at which it began to report that it is the primary, or none if it does not. */
    StoreRevision primarySinceRevision() {
        return primaryReportRejected ? StoreRevision.NONE : primarySinceRevision;
    }

    /** Returns the term of its last answer since it began to report that it is the primary, or 0 without an answer. */
    long termSinceReport() {
        return termSinceReport;
    }

    /** Returns the connections to it, including those that are being opened. */
    public List<MemberConnection> connections() {
        return connections;
    }

    /** Returns the uses of connections that homes of the member keep. */
    List<MemberConnection> homeConnections() {
        return homeConnections;
    }

    /** Returns how many statements of this daemon it is running, counted as leased connections. */
    public int inFlight() {
        int sum = homeConnections.size();
        for (MemberConnection connection : connections) {
            sum += connection.isLeased() ? 1 : 0;
        }
        return sum;
    }

    /**
     * Returns how many commands of this daemon it is running or has queued, counted as connections: those of this
     * daemon's callers, directly or at a home. Those of other daemons, which report them themselves, and those of idle
     * transactions do not count.
     */
    public int running() {
        int sum = 0;
        for (MemberConnection connection : connections) {
            sum += connection.isBusy() && !connection.isLent() ? 1 : 0;
        }
        for (MemberConnection connection : homeConnections) {
            sum += connection.isBusy() ? 1 : 0;
        }
        return sum;
    }

    /** Returns what is known of its speed, where the daemons share it. */
    public LearnedCapacity capacity() {
        return capacity;
    }

    /** Returns whether it is listed and accepts new requests. */
    public boolean acceptsRequests() {
        return listed && !entry.leaving();
    }

    /** Returns for how long it has been unreachable, in nanoseconds; negative if the last attempt succeeded. */
    public long unreachableNanos(long nowNanos) {
        return consecutiveFailures == 0 ? -1 : nowNanos - firstFailureNanos;
    }

    /** Returns whether the last attempt to reach it failed within the given number of nanoseconds. */
    public boolean failedWithin(long nanos, long nowNanos) {
        return consecutiveFailures > 0 && nowNanos - lastFailureNanos <= nanos;
    }

    /** Returns the time since it last answered or was first listed, in nanoseconds. */
    public long nanosSinceLastAnswer(long nowNanos) {
        return nowNanos - lastAnswerNanos;
    }

    /** Returns whether it has said itself that it is not the primary, although its entry reports that it is. */
    boolean isPrimaryReportRejected() {
        return primaryReportRejected;
    }

    /** Returns when this daemon learned that it reports to be the primary. */
    long primaryReportedNanos() {
        return primaryReportedNanos;
    }

    boolean isRetryDue(long nowNanos) {
        return nowNanos - retryAtNanos >= 0;
    }

    boolean isLagging(long nowNanos) {
        return nowNanos - laggingUntilNanos < 0;
    }

    boolean mayAddConnection(long nowNanos) {
        return nowNanos - connectionPauseUntilNanos >= 0;
    }

    LatencyEstimate latency() {
        return latency;
    }

    WarmUpLimiter warmUp() {
        return warmUp;
    }

    void update(MemberEntry newEntry, StoreRevision revision, long nowNanos) {
        if (!newEntry.equals(entry)) {
            warmUp.recordRemainingWarmUp(newEntry.warmUpMillis(), nowNanos);
        }
        boolean reportsAgain = revision.isAfter(primarySinceRevision);
        if (reportsAgain) {
            primaryReportedNanos = nowNanos;
        }
        if (reportsAgain || !newEntry.primary()) {
            primaryReportRejected = false;
            termSinceReport = 0;
        }
        entry = newEntry;
        primarySinceRevision = revision;
        listed = true;
    }

    void markUnlisted() {
        listed = false;
    }

    void recordAnswer(@Nullable LogPosition reported, long nowNanos) {
        consecutiveFailures = 0;
        lastAnswerNanos = nowNanos;
        if (reported != null) {
            position = reported;
            termSinceReport = reported.term();
        }
    }

    /**
     * Records that an attempt to reach the member failed.
     *
     * @param attemptNanos when the attempt began; the member has not answered it since
     * @param nowNanos the time
     */
    void recordFailure(long attemptNanos, long nowNanos) {
        if (consecutiveFailures == 0) {
            // An answer to an earlier attempt may have arrived in the meantime.
            firstFailureNanos = attemptNanos - lastAnswerNanos > 0 ? attemptNanos : lastAnswerNanos;
        }
        long delay = Math.min(MAXIMUM_RETRY_DELAY_NANOS, MINIMUM_RETRY_DELAY_NANOS << Math.min(consecutiveFailures, 8));
        consecutiveFailures++;
        lastFailureNanos = nowNanos;
        retryAtNanos = nowNanos + delay;
    }

    void recordLag(long nowNanos) {
        laggingUntilNanos = nowNanos + LAGGING_EXCLUSION_NANOS;
    }

    void recordConnectionRefusal(long nowNanos) {
        connectionPauseUntilNanos = nowNanos + CONNECTION_REFUSAL_PAUSE_NANOS;
    }

    /** Ignores its report to be the primary until it reports so again. */
    void rejectPrimaryReport() {
        primaryReportRejected = true;
    }
}
