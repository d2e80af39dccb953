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
import org.banyanhook.core.primary.DataAgeBounds;
import org.banyanhook.core.primary.GroupView;
import org.banyanhook.core.primary.KnownPrimary;
import org.banyanhook.core.primary.MemberObservation;
import org.banyanhook.core.primary.MemberStatus;
import org.banyanhook.core.replication.LogPosition;
import org.jspecify.annotations.Nullable;

/**
 * Reads the status of the members of one database group and derives the primary, the data age bounds and the durable
 * position from it.
 *
 * <p>At most one status read per member is in flight. Commits that arrive in the meantime share the next read, and an
 * unresponsive member does not delay the reads of other members. Confined to the controller's thread.
 */
final class GroupMonitor {

    static final Duration STATUS_TIMEOUT = Duration.ofMillis(800);

    private static final Logger LOGGER = LogManager.getLogger(GroupMonitor.class);

    /** A read counts as lost after this time, because a full ring buffer may have dropped its outcome. */
    private static final long LOST_READ_TIMEOUT_NANOS =
            STATUS_TIMEOUT.plusSeconds(1).toNanos();

    private static final long INITIAL_RETRY_DELAY_MILLIS = 1;
    private static final long MAXIMUM_RETRY_DELAY_MILLIS = 64;

    private final ControllerContext context;
    private ReadListener readListener = (member, startedNanos, status) -> {};
    private final Consumer<GroupSnapshot> snapshotConsumer;
    private final ConfirmationQueue confirmationQueue;
    private final Map<String, MemberReadState> readStates = new HashMap<>();

    private GroupView view;
    private DataAgeBounds ageBounds = DataAgeBounds.EMPTY;
    private LogPosition durablePosition = LogPosition.START;
    private @Nullable KnownPrimary announcedPrimary;
    private Optional<KnownPrimary> loggedPrimary = Optional.empty();
    private long heldTerm = -1;
    private long heldUntilNanos;

    GroupMonitor(ControllerContext context, Database database, Consumer<GroupSnapshot> snapshotConsumer) {
        this.context = context;
        this.snapshotConsumer = snapshotConsumer;
        this.confirmationQueue = new ConfirmationQueue(context);
        this.view = new GroupView(database, Map.of());
    }

    /** Receives the outcome of each status read. */
    @FunctionalInterface
    interface ReadListener {
        /**
         * Handles an outcome.
         *
         * @param member the name of the backend server
         * @param startedNanos when the read was started
         * @param status the status of the backend server, or null if the read failed
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

    /**
     * Starts a status read of every member whose last read was started at least one interval ago.
     *
     * @param primaryInterval the interval for the primary, and for every member while no primary is known
     * @param otherInterval the interval for the other members
     */
    void readIfDue(Duration primaryInterval, Duration otherInterval) {
        String primary = primary().map(KnownPrimary::member).orElse("");
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

    /** Records a status that a status read or another control call returned. */
    void recordStatus(MemberStatus status, long readStartedNanos) {
        if (database().member(status.member()).isEmpty()) {
            return;
        }
        view = view.with(new MemberObservation(status, readStartedNanos));
        ageBounds = ageBounds.withObservations(
                view.observations().values(), database().majoritySize());
        durablePosition = LogPosition.latest(durablePosition, view.durablePosition());
        // Publishes before completing confirmations: a caller whose position was confirmed must find it durable in the
        // snapshot.
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

    /** Uses an announced primary until the members report a later term or a primary of its term. */
    void recordAnnouncement(KnownPrimary primary) {
        boolean isCurrentOrNewer = primary.term() >= view.highestTerm();
        if (isCurrentOrNewer && database().member(primary.member()).isPresent()) {
            announcedPrimary = primary;
            publish();
        }
        readAll();
    }

    /** Hides the primary of a term from snapshots for a limited time, so that no new requests are sent to it. */
    void hold(long term, Duration duration) {
        heldTerm = term;
        heldUntilNanos = context.nowNanos() + duration.toNanos();
        publish();
    }

    void releaseHold() {
        heldTerm = -1;
        publish();
    }

    /** Returns the known primary, even while new requests are held. */
    Optional<KnownPrimary> primary() {
        Optional<KnownPrimary> observed = view.primary();
        KnownPrimary announcement = announcedPrimary;
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
        Optional<KnownPrimary> primary = primary();
        if (!primary.equals(loggedPrimary)) {
            LOGGER.info(
                    "database {}: primary is now {}, was {}; reason: highest observed term is {}",
                    database().name(),
                    describe(primary),
                    describe(loggedPrimary),
                    view.highestTerm());
            loggedPrimary = primary;
        }
        Optional<KnownPrimary> visiblePrimary = primary.filter(known -> known.term() != heldTerm);
        snapshotConsumer.accept(new GroupSnapshot(
                view, ageBounds, visiblePrimary, durablePosition, confirmationQueue.oldestRegisteredNanos()));
    }

    private static String describe(Optional<KnownPrimary> primary) {
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
