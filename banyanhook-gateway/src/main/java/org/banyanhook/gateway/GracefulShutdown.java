package org.banyanhook.gateway;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.execution.ShutdownSchedule;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.session.SessionRegistry;

/**
 * Carries out a planned stop: closes sessions as they become inactive, answers what is outstanding at the end of
 * service, and waits until callers have received their last answers. Confined to the event loop.
 */
final class GracefulShutdown {

    private static final long POLL_INTERVAL_MILLIS = 50;

    /** A task with any delay runs after the connections have been read once more. */
    private static final long READ_PASS_MILLIS = 1;

    /** The parts of a daemon that a stop ends. */
    interface Daemon {

        /**
         * Closes the client port, after accepting the connections that wait there.
         *
         * @return a future that completes when the port is closed
         */
        CompletableFuture<Void> closeClientPort();

        /**
         * Returns whether work for the fleet is in progress, such as the replacement of a primary or a statement of
         * another daemon, which is awaited as long as service goes on.
         */
        boolean isServingFleet();

        /**
         * Withdraws the daemon from the fleet.
         *
         * @return a future that completes when that is done or given up
         */
        CompletableFuture<Void> leaveFleet();
    }

    private final ShutdownSchedule schedule;
    private final SessionRegistry sessions;
    private final Daemon daemon;
    private final EventLoop eventLoop;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private boolean serviceEnded;

    /**
     * Creates a stop.
     *
     * @param schedule the steps of the stop
     * @param sessions the sessions of this daemon
     * @param daemon the parts that the stop ends
     * @param eventLoop the event loop on which everything runs
     * @param clock the monotonic clock
     * @param log receives a line for each step
     */
    GracefulShutdown(
            ShutdownSchedule schedule,
            SessionRegistry sessions,
            Daemon daemon,
            EventLoop eventLoop,
            MonotonicClock clock,
            DecisionLog log) {
        this.schedule = schedule;
        this.sessions = sessions;
        this.daemon = daemon;
        this.eventLoop = eventLoop;
        this.clock = clock;
        this.log = log;
    }

    /**
     * Begins the stop.
     *
     * @return a future that completes when the process may end, at the latest shortly before the grace period ends
     */
    CompletableFuture<Void> start() {
        logStep("stop");
        at(schedule.closeSessionsNanos(), () -> afterReading(this::closeSessions));
        // Scheduled now, so that callers are answered and the process ends even if a step fails.
        at(schedule.endOfServiceNanos(), () -> afterReading(this::endService));
        at(schedule.haltNanos(), this::halt);
        return stopped;
    }

    private void closeSessions() {
        logStep("stop-sessions");
        sessions.beginShutdown(schedule);
        // Callers whose sessions are closed come back at once, so the port is closed before them.
        daemon.closeClientPort().thenRun(() -> {
            sessions.drain(schedule);
            awaitInactivity();
        });
    }

    private void awaitInactivity() {
        if (!sessions.isActive() && !daemon.isServingFleet()) {
            endService();
        } else if (!serviceEnded) {
            var unused = eventLoop.schedule(this::awaitInactivity, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void endService() {
        if (serviceEnded) {
            return;
        }
        serviceEnded = true;
        logStep("stop-service");
        sessions.conclude();
        log.flush();
        awaitDelivery(daemon.leaveFleet());
    }

    private void awaitDelivery(CompletableFuture<Void> withdrawn) {
        if (sessions.size() == 0 && withdrawn.isDone()) {
            end();
        } else {
            var unused =
                    eventLoop.schedule(() -> awaitDelivery(withdrawn), POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Ends the process; if the event loop was held up until now, what is outstanding is answered first. */
    private void halt() {
        if (serviceEnded) {
            end();
            return;
        }
        var unused = eventLoop.schedule(this::end, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        endService();
    }

    private void end() {
        if (stopped.isDone()) {
            return;
        }
        logStep("stopped");
        log.close();
        stopped.complete(null);
    }

    private void at(long nanos, Runnable step) {
        var unused = eventLoop.schedule(step, nanos - clock.nowNanos(), TimeUnit.NANOSECONDS);
    }

    /** A request that has arrived while the event loop was held up is read before its session may be closed. */
    private void afterReading(Runnable step) {
        var unused = eventLoop.schedule(step, READ_PASS_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void logStep(String event) {
        log.line(event)
                .with("sinceRequestMs", TimeUnit.NANOSECONDS.toMillis(clock.nowNanos() - schedule.requestedNanos()))
                .with("sessions", sessions.size())
                .with("awaitingAnswer", sessions.countAwaitingAnswer())
                .with("transactions", sessions.countTransactions())
                .write();
    }
}
