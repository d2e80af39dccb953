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
    private static final long LOST_READ_TIMEOUT_NANOS =
            STATUS_TIMEOUT.plusSeconds(1).toNanos();
    private static final long INITIAL_RETRY_DELAY_MILLIS = 1;
    private static final long MAXIMUM_RETRY_DELAY_MILLIS = 64;

    private final ControllerContext context;
    private ReadListener readListener = (member, beganNanos, status) -> {};
    private final Consumer<GroupSnapshot> snapshotConsumer;
    private final ConfirmationQueue confirmationQueue;
    private final Map<String, MemberReadState> readStates = new HashMap<>();

    private GroupView view;
    private AgeHistory ageBounds = AgeHistory.EMPTY;
    private LogPosition durablePosition = LogPosition.START;
    private @Nullable BelievedPrimary announcedPrimary;
    private Optional<BelievedPrimary> loggedPrimary = Optional.empty();
    private long heldTerm = -1;
    private long heldUntilNanos;

    GroupMonitor(ControllerContext context, Database database, Consumer<GroupSnapshot> snapshotConsumer) {
        this.context = context;
        this.snapshotConsumer = snapshotConsumer;
        this.confirmationQueue = new ConfirmationQueue(context);
        this.view = new GroupView(database, Map.of());
    }

    /** Takes the outcome of each status read. */
    @FunctionalInterface
    interface ReadListener {
        /**
         * Handles an outcome.
         *
         * @param member the name of the backend server
         * @param startedNanos when the read began
         * @param status what it answered, or null if no answer came
         */
        void onRead(String member, long startedNanos, @Nullable MemberStatus status);
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

    void updateDatabase(Database database) {
        if (!database.equals(view.database())) {
            view = view.withDatabase(database);
            readStates.keySet().removeIf(member -> database.member(member).isEmpty());
            publish();
        }
    }

    void confirm(ConfirmationQueue.PendingConfirmation pending) {
        confirmationQueue.add(pending);
        readAll();
    }

    boolean hasPendingConfirmations() {
        return !confirmationQueue.isEmpty();
    }

    void readAll() {
        for (BackendServer member : database().members()) {
            read(member.name());
        }
    }

    /** Reads every member that was not read for an interval, the primary more often than the others. */
    void readIfDue(Duration primaryInterval, Duration otherInterval) {
        String primary = primary().map(BelievedPrimary::member).orElse("");
        for (BackendServer member : database().members()) {
            boolean isPrimaryOrUnknown = primary.isEmpty() || member.name().equals(primary);
            Duration interval = isPrimaryOrUnknown ? primaryInterval : otherInterval;
            MemberReadState state = readStates(member.name());
            if (!state.everStarted || context.nowNanos() - state.startedNanos >= interval.toNanos()) {
                read(member.name());
            }
        }
    }

    void read(String member) {
        Optional<BackendServer> server = database().member(member);
        MemberReadState state = readStates(member);
        long now = context.nowNanos();
        boolean lost = state.inFlight && now - state.startedNanos > LOST_READ_TIMEOUT_NANOS;
        if (server.isEmpty() || (state.inFlight && !lost)) {
            return;
        }
        state.inFlight = true;
        state.everStarted = true;
        state.startedNanos = now;
        context.metrics().recordStatusRead();
        context.control()
                .status(server.get(), STATUS_TIMEOUT)
                .whenComplete((status, failure) ->
                        context.loopExecutor().execute(() -> onRead(member, now, status, failure)));
    }

    private void onRead(String member, long startedNanos, @Nullable MemberStatus status, @Nullable Throwable failure) {
        MemberReadState state = readStates(member);
        if (state.startedNanos == startedNanos) {
            state.inFlight = false;
        }
        if (status != null) {
            recordStatus(status, startedNanos);
        } else {
            context.metrics().recordStatusReadFailure();
            LOGGER.debug("status read of {} failed: {}", member, String.valueOf(failure));
        }
        readListener.onRead(member, startedNanos, status);
        readAgainIfNeeded(member, state);
    }

    /** Takes in a status, from a status read or from the answer to another control call. */
    void recordStatus(MemberStatus status, long readStartedNanos) {
        if (database().member(status.member()).isEmpty()) {
            return;
        }
        view = view.with(new MemberObservation(status, readStartedNanos));
        ageBounds = ageBounds.withObservations(
                view.observations().values(), database().majority());
        durablePosition = LogPosition.latest(durablePosition, view.durablePosition());
        // Whoever is told that a position is confirmed must find it in the snapshot.
        publish();
        confirmationQueue.completeDecided(view);
        publish();
    }

    private void readAgainIfNeeded(String member, MemberReadState state) {
        Optional<MemberObservation> observation =
                Optional.ofNullable(view.observations().get(member));
        if (state.retryScheduled || !confirmationQueue.needsAnotherRead(observation)) {
            state.retryDelayMillis = INITIAL_RETRY_DELAY_MILLIS;
            return;
        }
        if (confirmationQueue.hasRegisteredSince(state.startedNanos)) {
            state.retryDelayMillis = INITIAL_RETRY_DELAY_MILLIS;
            read(member);
            return;
        }
        state.retryScheduled = true;
        context.schedule(Duration.ofMillis(state.retryDelayMillis), () -> {
            state.retryScheduled = false;
            if (!confirmationQueue.isEmpty()) {
                read(member);
            }
        });
        state.retryDelayMillis = Math.min(MAXIMUM_RETRY_DELAY_MILLIS, state.retryDelayMillis * 2);
    }

    /** Believes an announced primary until the members say otherwise. */
    void recordAnnouncement(BelievedPrimary primary) {
        boolean isCurrentOrNewer = primary.term() >= view.highestTerm();
        if (isCurrentOrNewer && database().member(primary.member()).isPresent()) {
            announcedPrimary = primary;
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
        BelievedPrimary announcement = announcedPrimary;
        boolean announcementIsNewer = announcement != null
                && announcement.term() >= view.highestTerm()
                && observed.map(primary -> primary.term() < announcement.term()).orElse(true);
        return announcementIsNewer ? Optional.ofNullable(announcement) : observed;
    }

    void tick(long nowNanos) {
        confirmationQueue.failExpired(view, nowNanos);
        if (heldTerm >= 0 && nowNanos - heldUntilNanos >= 0) {
            heldTerm = -1;
        }
        publish();
    }

    private void publish() {
        Optional<BelievedPrimary> primary = primary();
        if (!primary.equals(loggedPrimary)) {
            LOGGER.info(
                    "database {}: primary is now {}, was {}; reason: highest term seen is {}",
                    database().name(),
                    describe(primary),
                    describe(loggedPrimary),
                    view.highestTerm());
            loggedPrimary = primary;
        }
        Optional<BelievedPrimary> visiblePrimary = primary.filter(known -> known.term() != heldTerm);
        snapshotConsumer.accept(new GroupSnapshot(
                view, ageBounds, visiblePrimary, durablePosition, confirmationQueue.oldestRegisteredNanos()));
    }

    private static String describe(Optional<BelievedPrimary> primary) {
        return primary.map(known -> known.member() + " in term " + known.term()).orElse("unknown");
    }

    private MemberReadState readStates(String member) {
        return readStates.computeIfAbsent(member, name -> new MemberReadState());
    }

    private static final class MemberReadState {
        private boolean inFlight;
        private boolean everStarted;
        private boolean retryScheduled;
        private long startedNanos;
        private long retryDelayMillis = INITIAL_RETRY_DELAY_MILLIS;
    }
}
