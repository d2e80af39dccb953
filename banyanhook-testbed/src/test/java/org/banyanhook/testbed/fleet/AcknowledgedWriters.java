package org.banyanhook.testbed.fleet;

import java.io.Closeable;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.banyanhook.testbed.http.JsonAnswer;

/** Writers that append unique entries to one database through all daemons, and remember what was acknowledged. */
final class AcknowledgedWriters implements Closeable {

    private static final int WRITERS = 4;
    private static final int WRITING_ACCOUNTS = 3;
    private static final long PAUSE_MILLIS = 40;
    private static final long DEADLINE_MILLIS = 2000;

    private final LocalFleet fleet;
    private final String database;
    private final String run;
    private final List<Thread> threads = new ArrayList<>();
    private final ConcurrentLinkedQueue<Acknowledged> acknowledged = new ConcurrentLinkedQueue<>();
    private final Map<String, AtomicLong> refusals = new ConcurrentSkipListMap<>();
    private volatile boolean stopped;

    private record Acknowledged(int writer, int number, long atNanos) {}

    AcknowledgedWriters(LocalFleet fleet, String database, String run) {
        this.fleet = fleet;
        this.database = database;
        this.run = run;
        for (int writer = 0; writer < WRITERS; writer++) {
            int number = writer;
            Thread thread = new Thread(() -> write(number), "writer-" + writer);
            threads.add(thread);
            thread.start();
        }
    }

    private void write(int writer) {
        List<EntryVmProcess> entryVms = fleet.entryVms();
        for (int number = 1; !stopped; number++) {
            String statement = "append " + key(writer) + " ," + number;
            JsonAnswer answer = fleet.caller(writer % WRITING_ACCOUNTS)
                    .send(
                            entryVms.get((writer + number) % entryVms.size()),
                            new FleetRequest(FleetRoutes.WRITE, database, statement, DEADLINE_MILLIS))
                    .exceptionally(FleetCaller::unreachable)
                    .join();
            if (answer.status() == 200) {
                acknowledged.add(new Acknowledged(writer, number, System.nanoTime()));
            } else {
                String kind = answer.status() + " " + answer.text("kind") + " " + answer.text("execution");
                refusals.computeIfAbsent(kind, name -> new AtomicLong()).incrementAndGet();
            }
            pause();
        }
    }

    private void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        } catch (InterruptedException exception) {
            stopped = true;
        }
    }

    private String key(int writer) {
        return run + "-" + writer;
    }

    int count() {
        return acknowledged.size();
    }

    /** Returns the refusals by status, kind and execution, for messages. */
    Map<String, AtomicLong> refusals() {
        return new TreeMap<>(refusals);
    }

    /** Returns the longest time without an acknowledgement, from a time until now, in milliseconds. */
    long longestGapMillis(long fromNanos) {
        long last = fromNanos;
        long longest = 0;
        List<Long> times = acknowledged.stream()
                .map(Acknowledged::atNanos)
                .filter(time -> time - fromNanos > 0)
                .sorted()
                .toList();
        for (long time : times) {
            longest = Math.max(longest, time - last);
            last = time;
        }
        return TimeUnit.NANOSECONDS.toMillis(Math.max(longest, System.nanoTime() - last));
    }

    /**
     * Reads the entries of each writer through a daemon, once.
     *
     * @param entryVm the daemon
     * @return for each writer whose acknowledged entries were not all shown: the status and body of the answer, and the
     *     numbers that are missing
     */
    List<String> missing(EntryVmProcess entryVm) {
        List<String> missing = new ArrayList<>();
        for (int writer = 0; writer < WRITERS; writer++) {
            int number = writer;
            JsonAnswer answer = fleet.caller(writer % WRITING_ACCOUNTS)
                    .send(entryVm, FleetRequest.of(FleetRoutes.CURRENT_READ, database, "get " + key(writer)))
                    .exceptionally(FleetCaller::unreachable)
                    .join();
            List<String> found = List.of(answer.text("result").split(",", -1));
            List<Integer> notFound = acknowledged.stream()
                    .filter(entry -> entry.writer() == number)
                    .map(Acknowledged::number)
                    .filter(entry -> !found.contains(Integer.toString(entry)))
                    .toList();
            if (!notFound.isEmpty()) {
                missing.add("%s: status %d, body %s, failure %s, not shown: %s"
                        .formatted(
                                key(writer),
                                answer.status(),
                                answer.body(),
                                answer.headers().get("failure"),
                                notFound));
            }
        }
        return missing;
    }

    @Override
    public void close() {
        stopped = true;
        for (Thread thread : threads) {
            try {
                thread.join();
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
