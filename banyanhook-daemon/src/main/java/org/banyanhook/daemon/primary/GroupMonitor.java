package org.banyanhook.daemon.primary;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.core.configuration.BackendServer;
import org.banyanhook.core.configuration.Database;
import org.banyanhook.core.primary.AgeHistory;
import org.banyanhook.core.primary.BelievedPrimary;
import org.banyanhook.core.primary.GroupView;
import org.banyanhook.core.primary.MemberObservation;
import org.banyanhook.core.primary.MemberStatus;
import org.banyanhook.core.replication.LogPosition;
import org.jspecify.annotations.Nullable;

/**
 * Reads the status of the members of one database group and keeps what follows from it.
 *
 * <p>At most one read to a member is in flight; all commits that wait meanwhile share the next one, and a member that
 * does not answer delays no other. Used on the controller's thread only.
 */
final class GroupMonitor {

    static final Duration STATUS_TIMEOUT = Duration.ofMillis(800);

    private static final Logger LOGGER = LogManager.getLogger(GroupMonitor.class);
    private static final long LOST_READ_NANOS = STATUS_TIMEOUT.plusSeconds(1).toNanos();
    private static final long FIRST_RETRY_MILLIS = 1;
    private static final long MAXIMUM_RETRY_MILLIS = 64;

    private final ControllerContext context;
    private ReadListener readListener = (member, beganNanos, status) -> {};
    private final Consumer<GroupSnapshot> snapshots;
    private final ConfirmationQueue queue;
    private final Map<String, MemberReads> reads = new HashMap<>();

    private GroupView view;
    private AgeHistory ages = AgeHistory.EMPTY;
    private LogPosition durable = LogPosition.START;
    private @Nullable BelievedPrimary announced;
    private Optional<BelievedPrimary> lastPrimary = Optional.empty();
    private long heldTerm = -1;
    private long heldUntilNanos;

    GroupMonitor(ControllerContext context, Database database, Consumer<GroupSnapshot> snapshots) {
        this.context = context;
        this.snapshots = snapshots;
        this.queue = new ConfirmationQueue(context);
        this.view = new GroupView(database, Map.of());
    }

    /** Takes the outcome of each status read. */
    @FunctionalInterface
    interface ReadListener {
        /**
         * Handles an outcome.
         *
         * @param member the name of the backend server
         * @param beganNanos when the read began
         * @param status what it answered, or null if no answer came
         */
        void onRead(String member, long beganNanos, @Nullable MemberStatus status);
    }

    void onRead(ReadListener listener) {
        this.readListener = listener;
    }

    GroupView view() {
        return view;
    }

    Database database() {
        return view.database();
    }

    void configure(Database database) {
        if (!database.equals(view.database())) {
            view = view.withDatabase(database);
            reads.keySet().removeIf(member -> database.member(member).isEmpty());
            publish();
        }
    }

    void confirm(ConfirmationQueue.PendingConfirmation waiter) {
        queue.add(waiter);
        readAll();
    }

    boolean isBusy() {
        return !queue.isEmpty();
    }

    void readAll() {
        for (BackendServer member : database().members()) {
            read(member.name());
        }
    }

    /** Reads every member that was not read for an interval, the primary more often than the others. */
    void readStale(Duration primaryInterval, Duration otherInterval) {
        String primary = primary().map(BelievedPrimary::member).orElse("");
        for (BackendServer member : database().members()) {
            boolean often = primary.isEmpty() || member.name().equals(primary);
            Duration interval = often ? primaryInterval : otherInterval;
            MemberReads state = reads(member.name());
            if (!state.everBegan || context.nowNanos() - state.beganNanos >= interval.toNanos()) {
                read(member.name());
            }
        }
    }

    void read(String member) {
        Optional<BackendServer> server = database().member(member);
        MemberReads state = reads(member);
        long now = context.nowNanos();
        boolean lost = state.inFlight && now - state.beganNanos > LOST_READ_NANOS;
        if (server.isEmpty() || (state.inFlight && !lost)) {
            return;
        }
        state.inFlight = true;
        state.everBegan = true;
        state.beganNanos = now;
        context.metrics().recordStatusRead();
        context.control()
                .status(server.get(), STATUS_TIMEOUT)
                .whenComplete(
                        (status, failure) -> context.taskLoop().execute(() -> onRead(member, now, status, failure)));
    }

    private void onRead(String member, long beganNanos, @Nullable MemberStatus status, @Nullable Throwable failure) {
        MemberReads state = reads(member);
        if (state.beganNanos == beganNanos) {
            state.inFlight = false;
        }
        if (status != null) {
            observe(status, beganNanos);
        } else {
            context.metrics().recordStatusReadFailure();
            LOGGER.debug("status read of {} failed: {}", member, String.valueOf(failure));
        }
        readListener.onRead(member, beganNanos, status);
        readAgainIfWaiting(member, state);
    }

    /** Takes in a status, from a status read or from the answer to another control call. */
    void observe(MemberStatus status, long beganNanos) {
        if (database().member(status.member()).isEmpty()) {
            return;
        }
        view = view.with(new MemberObservation(status, beganNanos));
        ages = ages.withObservations(view.observations().values(), database().majority());
        durable = LogPosition.latest(durable, view.durablePosition());
        // Whoever is told that a position is confirmed must find it in the snapshot.
        publish();
        queue.completeDecided(view);
        publish();
    }

    private void readAgainIfWaiting(String member, MemberReads state) {
        Optional<MemberObservation> observation =
                Optional.ofNullable(view.observations().get(member));
        if (state.retryScheduled || !queue.needsAnotherRead(observation)) {
            state.retryMillis = FIRST_RETRY_MILLIS;
            return;
        }
        if (queue.hasRegisteredSince(state.beganNanos)) {
            state.retryMillis = FIRST_RETRY_MILLIS;
            read(member);
            return;
        }
        state.retryScheduled = true;
        context.schedule(Duration.ofMillis(state.retryMillis), () -> {
            state.retryScheduled = false;
            if (!queue.isEmpty()) {
                read(member);
            }
        });
        state.retryMillis = Math.min(MAXIMUM_RETRY_MILLIS, state.retryMillis * 2);
    }

    /** Believes an announced primary until the members say otherwise. */
    void announce(BelievedPrimary primary) {
        boolean newer = primary.term() >= view.highestTerm();
        if (newer && database().member(primary.member()).isPresent()) {
            announced = primary;
            publish();
        }
        readAll();
    }

    /** Shows no primary of a term for a time, so that no new work is sent to it. */
    void hold(long term, Duration duration) {
        heldTerm = term;
        heldUntilNanos = context.nowNanos() + duration.toNanos();
        publish();
    }

    void releaseHold() {
        heldTerm = -1;
        publish();
    }

    /** Returns the believed primary, also while new work is held. */
    Optional<BelievedPrimary> primary() {
        Optional<BelievedPrimary> observed = view.primary();
        BelievedPrimary hint = announced;
        boolean hintIsNewer = hint != null
                && hint.term() >= view.highestTerm()
                && observed.map(primary -> primary.term() < hint.term()).orElse(true);
        return hintIsNewer ? Optional.ofNullable(hint) : observed;
    }

    void tick(long nowNanos) {
        queue.failExpired(view, nowNanos);
        if (heldTerm >= 0 && nowNanos - heldUntilNanos >= 0) {
            heldTerm = -1;
        }
        publish();
    }

    private void publish() {
        Optional<BelievedPrimary> primary = primary();
        if (!primary.equals(lastPrimary)) {
            LOGGER.info(
                    "database {}: primary is now {}, was {}; reason: highest term seen is {}",
                    database().name(),
                    describe(primary),
                    describe(lastPrimary),
                    view.highestTerm());
            lastPrimary = primary;
        }
        Optional<BelievedPrimary> offered = primary.filter(known -> known.term() != heldTerm);
        snapshots.accept(new GroupSnapshot(view, ages, offered, durable, queue.oldestRegisteredNanos()));
    }

    private static String describe(Optional<BelievedPrimary> primary) {
        return primary.map(known -> known.member() + " in term " + known.term()).orElse("unknown");
    }

    private MemberReads reads(String member) {
        return reads.computeIfAbsent(member, name -> new MemberReads());
    }

    private static final class MemberReads {
        private boolean inFlight;
        private boolean everBegan;
        private boolean retryScheduled;
        private long beganNanos;
        private long retryMillis = FIRST_RETRY_MILLIS;
    }
}
