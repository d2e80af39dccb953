package org.banyanhook.testbed.load;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.banyanhook.testbed.fleet.EntryVmProcess;
import org.banyanhook.testbed.fleet.FleetCaller;
import org.banyanhook.testbed.fleet.LocalFleet;

/**
 * Spreads callers over the entry VMs that say they are ready, as the platform's balancer does. Safe for use by several
 * threads.
 */
final class Balancer implements AutoCloseable {

    private static final long POLL_MILLIS = 500;
    private static final long ANSWER_TIMEOUT_MILLIS = 1_000;
    private static final int READY = 200;

    private final LocalFleet fleet;
    private final Random random;
    private final Thread thread;
    private volatile List<EntryVmProcess> ready;

    Balancer(LocalFleet fleet, long seed) {
        this.fleet = fleet;
        this.random = new Random(seed);
        this.ready = fleet.entryVms();
        this.thread = new Thread(this::poll, "balancer");
        thread.setDaemon(true);
        thread.start();
    }

    EntryVmProcess next() {
        List<EntryVmProcess> candidates = ready;
        return candidates.get(random.nextInt(candidates.size()));
    }

    @Override
    public void close() {
        thread.interrupt();
    }

    private void poll() {
        try {
            while (true) {
                List<EntryVmProcess> answering =
                        fleet.entryVms().stream().filter(this::isReady).toList();
                ready = answering.isEmpty() ? fleet.entryVms() : answering;
                Thread.sleep(POLL_MILLIS);
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean isReady(EntryVmProcess entryVm) {
        return fleet.client()
                        .call(entryVm.administration(), "GET", "/health/ready", null, Map.of())
                        .orTimeout(ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                        .exceptionally(FleetCaller::unreachable)
                        .join()
                        .status()
                == READY;
    }
}
