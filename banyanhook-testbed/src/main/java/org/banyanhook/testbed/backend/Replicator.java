package org.banyanhook.testbed.backend;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.testbed.http.JsonAnswer;
import org.banyanhook.testbed.http.JsonClient;

/** Pulls the entries of the primary into a replica on a thread of its own. */
final class Replicator implements AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(Replicator.class);
    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    private static final int ENTRIES_PER_CALL = 500;
    private static final long WAIT_MILLIS = 500;
    private static final long TIMEOUT_MILLIS = 2_000;
    private static final long PAUSE_MILLIS = 20;

    private final MemberState state;
    private final BackendFaults faults;
    private final JsonClient client;
    private final Thread thread;
    private volatile String primaryAddress = "";
    private volatile boolean closed;

    Replicator(String member, MemberState state, BackendFaults faults, JsonClient client) {
        this.state = state;
        this.faults = faults;
        this.client = client;
        this.thread = new Thread(this::run, "replicator-" + member);
        thread.setDaemon(true);
        thread.start();
    }

    void replicateFrom(String address) {
        primaryAddress = address;
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
    }

    private void run() {
        while (!closed) {
            try {
                step();
            } catch (InterruptedException exception) {
                return;
            } catch (ExecutionException | TimeoutException | JsonProcessingException exception) {
                LOGGER.debug("replication from {} failed; trying again", primaryAddress, exception);
                pause();
            }
        }
    }

    private void step() throws InterruptedException, ExecutionException, TimeoutException, JsonProcessingException {
        faults.thawed().get();
        MemberState.Standing standing = state.standing();
        if (standing.role() != MemberState.Role.REPLICA || primaryAddress.isEmpty() || faults.isolated()) {
            pause();
            return;
        }
        pull(standing, primaryAddress);
    }

    private void pull(MemberState.Standing standing, String address)
            throws InterruptedException, ExecutionException, TimeoutException, JsonProcessingException {
        LogPosition last = standing.last();
        String path = "/log?afterTerm=" + last.term() + "&afterPosition=" + last.position() + "&term=" + standing.term()
                + "&limit=" + ENTRIES_PER_CALL + "&waitMillis=" + WAIT_MILLIS;
        JsonAnswer answer =
                client.call(address, "GET", path, null, Map.of()).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        faults.thawed().get();
        if (answer.status() != 200 || faults.isolated()) {
            pause();
            return;
        }
        take(standing, MAPPER.treeToValue(answer.body(), Messages.Entries.class));
    }

    private void take(MemberState.Standing standing, Messages.Entries answer) throws InterruptedException {
        LogPosition place = standing.last();
        if (!answer.matches() || answer.entries().isEmpty()) {
            state.replicate(standing.term(), place, slice(answer, List.of()));
            return;
        }
        for (LogEntry entry : answer.entries()) {
            awaitLag(entry);
            if (!state.replicate(standing.term(), place, slice(answer, List.of(entry)))) {
                return;
            }
            place = new LogPosition(entry.term(), entry.position());
        }
    }

    private static MemberState.LogSlice slice(Messages.Entries answer, List<LogEntry> entries) {
        return new MemberState.LogSlice(answer.matches(), answer.dropAfter(), entries);
    }

    private void awaitLag(LogEntry entry) throws InterruptedException {
        long dueMillis = entry.writtenAtMillis() + faults.replicationLagMillis() - System.currentTimeMillis();
        if (dueMillis > 0) {
            Thread.sleep(dueMillis);
        }
    }

    private void pause() {
        try {
            Thread.sleep(PAUSE_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
