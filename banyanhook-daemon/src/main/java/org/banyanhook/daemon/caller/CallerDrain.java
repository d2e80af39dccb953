package org.banyanhook.daemon.caller;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.function.IntSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.daemon.execution.WorkGate;

/**
 * Takes this entry VM out of service without cutting a request.
 *
 * <p>First it still serves, but asks callers with each reply to reconnect, so that the balancer and the peers learn of
 * the shutdown. Then it refuses new work as not run. Then it waits, within a bound, until requests in flight and open
 * transactions have ended, and closes the server.
 */
public final class CallerDrain {

    private static final Logger LOGGER = LogManager.getLogger(CallerDrain.class);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

    private final CallerServer server;
    private final WorkGate requestGate;
    private final IntSupplier openTransactionCount;

    /**
     * Creates a drain.
     *
     * @param server the server to close
     * @param requestGate counts the work in progress
     * @param openTransactionCount tells how many transactions have this entry VM as their home
     */
    public CallerDrain(CallerServer server, WorkGate requestGate, IntSupplier openTransactionCount) {
        this.server = requireNonNull(server, "server");
        this.requestGate = requireNonNull(requestGate, "gate");
        this.openTransactionCount = requireNonNull(openTransactionCount, "openTransactions");
    }

    /**
     * Drains and closes the server. Blocks; readiness must be off and peers told before.
     *
     * @param announcementPeriod how long to serve on while callers and peers learn of the shutdown
     * @param timeout how long to wait for requests in flight and open transactions after that
     * @return true if all ended within the limit
     * @throws Exception if the server does not close
     */
    public boolean run(Duration announcementPeriod, Duration timeout) throws Exception {
        server.requestConnectionClose();
        Thread.sleep(announcementPeriod.toMillis());
        requestGate.close();
        LOGGER.info(
                "draining: {} requests in flight and {} open transactions",
                requestGate.inProgress(),
                openTransactionCount.getAsInt());
        boolean completed = awaitCompletion(System.nanoTime() + timeout.toNanos());
        if (!completed) {
            LOGGER.warn(
                    "drain limit of {} passed with {} requests in flight and {} open transactions",
                    timeout,
                    requestGate.inProgress(),
                    openTransactionCount.getAsInt());
        }
        server.close();
        return completed;
    }

    private boolean awaitCompletion(long deadlineNanos) throws InterruptedException {
        while (requestGate.inProgress() > 0 || openTransactionCount.getAsInt() > 0) {
            if (System.nanoTime() - deadlineNanos >= 0) {
                return false;
            }
            Thread.sleep(POLL_INTERVAL.toMillis());
        }
        return true;
    }
}
