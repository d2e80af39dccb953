package org.banyanhook.testbed.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.ToLongFunction;

/**
 * Records the writes and reads of all callers and checks them against the members' logs at the end of a run.
 * Thread-safe.
 */
final class SoakHistory {

    /** The outcome of a write according to its answer. */
    enum Outcome {
        ACKNOWLEDGED,
        NOT_KEPT,
        UNKNOWN
    }

    /** The required freshness of a read. The lower-case names are the databases that callers open. */
    enum Freshness {
        CURRENT,
        BOUNDED,
        OWN
    }

    /** Maximum staleness of reads from the database {@code bounded}; the fleet's configuration has the same value. */
    private static final long BOUNDED_MAX_AGE_NANOS = 1_500_000_000L;

    /**
     * Maximum staleness, for writes of other sessions, of reads from the database {@code own}; the fleet's
     * configuration has the same value.
     */
    private static final long OWN_MAX_AGE_NANOS = 2_500_000_000L;

    private final List<Write> writes = new ArrayList<>();
    private final List<Read> reads = new ArrayList<>();
    private final List<String> unansweredWrites = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();

    /**
     * A write of a value to the item of its caller.
     *
     * @param item the item, which a single caller writes with increasing values
     * @param value the value
     * @param answeredNanos the {@link System#nanoTime()} at which the answer was received
     * @param outcome the outcome according to the answer
     * @param session the session that sent the write
     */
    record Write(String item, long value, long answeredNanos, Outcome outcome, String session) {}

    /**
     * A successful read.
     *
     * @param item the item
     * @param value the value, 0 if the item had none
     * @param sentNanos the {@link System#nanoTime()} at which the request was sent
     * @param freshness the required freshness
     * @param session the session that sent the read
     * @param gateway the number of the gateway that answered
     */
    record Read(String item, long value, long sentNanos, Freshness freshness, String session, int gateway) {}

    synchronized void add(Write write) {
        writes.add(write);
    }

    synchronized void add(Read read) {
        reads.add(read);
    }

    /**
     * Records a write whose connection ended so soon that it may not have arrived. If it was carried out, it had, and
     * its answer was cut off.
     *
     * @param logEntry the item and the value, separated by a space
     */
    synchronized void addUnansweredWrite(String logEntry) {
        unansweredWrites.add(logEntry);
    }

    synchronized void addViolation(String description) {
        violations.add(description);
    }

    /** Returns the number of writes with an outcome. */
    synchronized long countWrites(Outcome outcome) {
        return writes.stream().filter(write -> write.outcome() == outcome).count();
    }

    synchronized int reads() {
        return reads.size();
    }

    /** Returns the number of acknowledged writes that were rolled back with the log of a superseded primary. */
    synchronized long countRolledBackAcknowledged(Set<String> rolledBack) {
        return writes.stream()
                .filter(write -> write.outcome() == Outcome.ACKNOWLEDGED && rolledBack.contains(logEntry(write)))
                .count();
    }

    /**
     * Checks the guarantees for all recorded writes and reads. Writes are identified by their item and value, separated
     * by a space.
     *
     * @param occurrencesInLog returns how often the log of the newest primary contains a write
     * @param rolledBack the writes that were rolled back with the log of a superseded primary
     * @param superseded the writes that were committed at a primary after another had been promoted
     * @return the violations, including those added by {@link #addViolation}, one line each
     */
    synchronized List<String> check(
            ToLongFunction<String> occurrencesInLog, Set<String> rolledBack, Set<String> superseded) {
        List<String> allViolations = new ArrayList<>(violations);
        for (Write write : writes) {
            String logEntry = logEntry(write);
            long occurrences = occurrencesInLog.applyAsLong(logEntry);
            boolean acknowledged = write.outcome() == Outcome.ACKNOWLEDGED;
            if (occurrences > 1) {
                allViolations.add("run twice: " + logEntry + ", " + occurrences + " times");
            }
            if (acknowledged && occurrences == 0 && !rolledBack.contains(logEntry)) {
                allViolations.add("lost: " + logEntry);
            }
            if (acknowledged && superseded.contains(logEntry)) {
                allViolations.add("acknowledged by a superseded primary: " + logEntry);
            }
            if (write.outcome() == Outcome.NOT_KEPT && occurrences > 0) {
                allViolations.add("said not to have run, but kept: " + logEntry);
            }
        }
        for (String logEntry : unansweredWrites) {
            if (occurrencesInLog.applyAsLong(logEntry) > 0) {
                allViolations.add("cut off, but kept: " + logEntry);
            }
        }
        reads.forEach(read -> checkRead(read, rolledBack, allViolations));
        return allViolations;
    }

    private void checkRead(Read read, Set<String> rolledBack, List<String> allViolations) {
        long requiredValue = 0;
        for (Write write : writes) {
            boolean mustBeVisible = write.outcome() == Outcome.ACKNOWLEDGED
                    && write.item().equals(read.item())
                    && write.answeredNanos() - (read.sentNanos() - maxAgeNanos(read, write)) < 0
                    && !rolledBack.contains(logEntry(write));
            requiredValue = mustBeVisible ? Math.max(requiredValue, write.value()) : requiredValue;
        }
        if (read.value() < requiredValue) {
            allViolations.add("stale: gateway " + read.gateway() + " read " + read.item() + " " + read.value()
                    + ", needed " + requiredValue + ", " + read.freshness() + ", session " + read.session());
        }
    }

    private static long maxAgeNanos(Read read, Write write) {
        return switch (read.freshness()) {
            case CURRENT -> 0;
            case BOUNDED -> BOUNDED_MAX_AGE_NANOS;
            case OWN -> read.session().equals(write.session()) ? 0 : OWN_MAX_AGE_NANOS;
        };
    }

    private static String logEntry(Write write) {
        return write.item() + " " + write.value();
    }
}
