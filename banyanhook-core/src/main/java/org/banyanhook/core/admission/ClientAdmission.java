package org.banyanhook.core.admission;

import com.google.common.collect.Iterables;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which client connections are refused, suspended or closed so that the data of clients stays within a budget.
 * The load that it addresses: many clients that send large or unfinished messages, send far ahead, or don't read.
 */
public final class ClientAdmission {

    /** A connection that holds no more than this is closed only if all others are as small. */
    static final long MINIMUM_SHARE_BYTES = 32 << 10;

    /** Decoding and encoding a request holds about three copies of it until a member has received it. */
    static final long COPIES_IN_PROGRESS = 3;

    /** Smaller requests are started without regard to the budget, since the member connections bound their number. */
    static final long SMALL_REQUEST_BYTES = 64 << 10;

    private static final long MILLIS_PER_SECOND = 1_000;

    /**
     * Connections that hold less are not closed for memory. An idle session holds tens of bytes, so that closing many
     * of them would free little of what requests in progress use.
     */
    private static final long MINIMUM_CLOSED_BYTES = 4 << 10;

    private final ClientLimits limits;

    /**
     * Creates the policy.
     *
     * @param limits the limits
     */
    public ClientAdmission(ClientLimits limits) {
        this.limits = limits;
    }

    /** Returns what a request counts for while it is in progress, in bytes. */
    public long chargeInProgress(long requestBytes) {
        return requestBytes * COPIES_IN_PROGRESS;
    }

    /** Returns whether connections may be closed for slowness: half the memory or three quarters of the connections. */
    public boolean isUnderPressure(long totalBytes, int connections) {
        return totalBytes > limits.memoryBytes() / 2 || connections > limits.maximumConnections() / 4 * 3;
    }

    /** Returns whether the clients hold more than the budget, so that connections have to be closed now. */
    public boolean isOverBudget(long totalBytes) {
        return totalBytes > limits.memoryBytes();
    }

    /**
     * Decides whether a request may start. A large one waits for no memory: it is refused at once, so that its client
     * can retry.
     *
     * @param requestBytes the size of the request
     * @param inProgressBytes the sum of {@link #chargeInProgress} over the requests that are in progress
     */
    public boolean mayStart(long requestBytes, long inProgressBytes) {
        return requestBytes <= SMALL_REQUEST_BYTES
                || inProgressBytes == 0
                || inProgressBytes + chargeInProgress(requestBytes) <= limits.memoryBytes() / 2;
    }

    /** Returns whether reading from a connection is suspended until requests have been answered. */
    public boolean suspendsReading(int queuedRequests, long unansweredBytes) {
        return queuedRequests >= limits.maximumQueuedRequests() || unansweredBytes >= limits.maximumQueuedBytes();
    }

    /** Returns whether reading from a suspended connection is resumed. */
    public boolean resumesReading(int queuedRequests, long unansweredBytes) {
        return queuedRequests <= limits.maximumQueuedRequests() / 2
                && unansweredBytes <= limits.maximumQueuedBytes() / 2;
    }

    /** Returns whether another session may be opened with a key that has so many open sessions. */
    public boolean mayOpenSession(int sessionsOfKey) {
        return sessionsOfKey < limits.maximumConnectionsPerKey();
    }

    /** Returns whether a connection has to give way before another one is accepted. */
    public boolean isFull(int connections) {
        return connections >= limits.maximumConnections();
    }

    /**
     * Selects the connection that gives way to a new one: the oldest whose client has not opened a session.
     *
     * @param loads the open connections
     * @return the number of the connection, or empty if the new one has to be refused
     */
    public Optional<Long> selectToGiveWay(List<ConnectionLoad> loads) {
        return loads.stream()
                .filter(load -> !load.opened())
                .max(Comparator.comparingLong(ConnectionLoad::connectedMillis))
                .map(ConnectionLoad::connection);
    }

    /**
     * Selects the connections to close when the budget is exceeded, until three quarters of it are in use. Connections
     * beyond their share come first, those without a request in progress before others, the largest first. Connections
     * within their share follow, those of the account that holds the most first.
     *
     * @param loads the open connections
     * @param totalBytes what all clients hold, including requests in progress
     * @return the numbers of the connections, in the order in which they are closed
     */
    public List<Long> selectToClose(List<ConnectionLoad> loads, long totalBytes) {
        long excess = isOverBudget(totalBytes) ? totalBytes - limits.memoryBytes() / 4 * 3 : 0;
        if (excess <= 0) {
            return List.of();
        }
        long share = Math.max(MINIMUM_SHARE_BYTES, limits.memoryBytes() / Math.max(1, loads.size()));
        Map<String, Long> bytesByAccount = new HashMap<>();
        List<ConnectionLoad> beyondShare = new ArrayList<>();
        List<ConnectionLoad> withinShare = new ArrayList<>();
        for (ConnectionLoad load : loads) {
            bytesByAccount.merge(load.account(), load.heldBytes(), Long::sum);
            if (load.heldBytes() >= MINIMUM_CLOSED_BYTES) {
                (load.heldBytes() > share ? beyondShare : withinShare).add(load);
            }
        }
        Comparator<ConnectionLoad> largestFirst = Comparator.comparing(ConnectionLoad::requestInProgress)
                .thenComparing(Comparator.comparingLong(ConnectionLoad::heldBytes)
                        .reversed()
                        .thenComparingLong(ConnectionLoad::connection));
        beyondShare.sort(largestFirst);
        withinShare.sort(
                Comparator.<ConnectionLoad>comparingLong(load -> -bytesByAccount.getOrDefault(load.account(), 0L))
                        .thenComparing(largestFirst));
        List<Long> selected = new ArrayList<>();
        for (ConnectionLoad load : Iterables.concat(beyondShare, withinShare)) {
            if (excess <= 0) {
                break;
            }
            selected.add(load.connection());
            excess -= load.heldBytes();
        }
        return selected;
    }

    /**
     * Decides whether a connection is closed for slowness. Called only under pressure; in calm conditions a client may
     * be as slow as it likes.
     *
     * @param load the connection
     * @return the reason to close it, or empty
     */
    public Optional<ClientCloseReason> checkProgress(ConnectionLoad load) {
        if (load.unfinishedBytes() > 0
                && load.unfinishedMillis() > limits.graceMillis()
                && load.unfinishedBytes() * MILLIS_PER_SECOND / load.unfinishedMillis()
                        < limits.minimumBytesPerSecond()) {
            return Optional.of(ClientCloseReason.MESSAGE_SLOW);
        }
        if (!load.opened() && load.unfinishedBytes() == 0 && load.connectedMillis() > limits.graceMillis()) {
            return Optional.of(ClientCloseReason.FIRST_MESSAGE_LATE);
        }
        if (load.stalledMillis() > limits.stallMillis()) {
            return Optional.of(ClientCloseReason.ANSWER_UNREAD);
        }
        return Optional.empty();
    }
}
