package org.banyanhook.daemon.caller;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.daemon.execution.RequestGate;

/**
 * Takes this entry VM out of service without aborting requests in flight.
 *
 * <p>During the announcement period it still serves requests and asks callers with each reply to reconnect, which
 * leaves the balancer and the peers time to detect the shutdown. It then refuses new requests as not run, waits until
 * requests in flight and open transactions have ended or the timeout has passed, replies to requests that are still in
 * flight with what is known of them, and closes the server.
 */
public final class CallerDrain {

    private static final Logger LOGGER = LogManager.getLogger(CallerDrain.class);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);
    private static final Duration LAST_REPLY_TIMEOUT = Duration.ofSeconds(2);

    private final CallerServer server;
    private final RequestGate requestGate;
    private final IntSupplier openTransactionCount;

    /**
     * Creates a drain.
     *
     * @param server the server to close
     * @param requestGate counts requests in progress and refuses new ones once closed
     * @param openTransactionCount returns the number of open transactions whose home is this entry VM
     */
    public CallerDrain(CallerServer server, RequestGate requestGate, IntSupplier openTransactionCount) {
        this.server = requireNonNull(server, "server");
        this.requestGate = requireNonNull(requestGate, "requestGate");
        this.openTransactionCount = requireNonNull(openTransactionCount, "openTransactionCount");
    }

    /**
     * Drains and closes the server. Blocks. Readiness must be withdrawn and peers must be notified before the call.
     *
     * @param announcementPeriod how long to continue serving before new requests are refused
     * @param timeout how long to wait after that for requests in flight and open transactions
     * @return true if all of them ended within the timeout
     * @throws Exception if the server cannot be closed
     */
    public boolean run(Duration announcementPeriod, Duration timeout) throws Exception {
        server.requestConnectionClose();
        Thread.sleep(announcementPeriod.toMillis());
        requestGate.close();
        LOGGER.info(
                "draining; {} requests in flight and {} open transactions",
                requestGate.inProgress(),
                openTransactionCount.getAsInt());
        boolean completed = awaitNone(this::countOutstanding, timeout);
        if (!completed) {
            LOGGER.warn(
                    "drain did not complete within {}; {} requests in flight and {} open transactions remain",
                    timeout,
                    requestGate.inProgress(),
                    openTransactionCount.getAsInt());
            server.endService();
            awaitNone(requestGate::inProgress, LAST_REPLY_TIMEOUT);
        }
        server.close();
        return completed;
    }

    private long countOutstanding() {
        return requestGate.inProgress() + openTransactionCount.getAsInt();
    }

    private static boolean awaitNone(LongSupplier count, Duration timeout) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + timeout.toNanos();
        while (count.getAsLong() > 0) {
            if (System.nanoTime() - deadlineNanos >= 0) {
                return false;
            }
            Thread.sleep(POLL_INTERVAL.toMillis());
        }
        return true;
    }
}
