package org.banyanhook.testbed.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.ToLongFunction;

/** What the callers saw, and the promises checked against the members' logs at the end. Safe for several threads. */
final class SoakHistory {

    /** What a caller was told of a write. */
    enum Outcome {
        ACKNOWLEDGED,
        NOT_KEPT,
        UNKNOWN
    }

    /** How fresh a read has to be. */
    enum Freshness {
        CURRENT,
        BOUNDED,
        OWN
    }

    /** The age that reads of the databases {@code bounded} and {@code own} may have, from the fleet's configuration. */
    private static final long BOUNDED_MAX_AGE_NANOS = 1_500_000_000L;

    private static final long OWN_MAX_AGE_NANOS = 2_500_000_000L;

    private final List<Write> writes = new ArrayList<>();
    private final List<Read> reads = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();

    /**
     * A write of a number to an item of its own session.
     *
     * @param item the item, which one session writes with rising numbers
     * @param value the number
     * @param answeredNanos when the answer came
     * @param outcome what the answer said
     * @param session the session that wrote it
     */
    record Write(String item, long value, long answeredNanos, Outcome outcome, String session) {}

    /**
     * A read that succeeded.
     *
     * @param item the item
     * @param value what was read, 0 for nothing
     * @param sentNanos when the request was sent
     * @param freshness how fresh it has to be
     * @param session the session that read it
     * @param gateway the gateway that served it
     */
    record Read(String item, long value, long sentNanos, Freshness freshness, String session, int gateway) {}

    synchronized void add(Write write) {
        writes.add(write);
    }

    synchronized void add(Read read) {
        reads.add(read);
    }

    synchronized void addViolation(String description) {
        violations.add(description);
    }

    /** Returns how many writes had an outcome. */
    synchronized long countWrites(Outcome outcome) {
        return writes.stream().filter(write -> write.outcome() == outcome).count();
    }

    synchronized int reads() {
        return reads.size();
    }

    /** Returns how many acknowledged writes were dropped with the log of a superseded primary. */
    synchronized long countRolledBackAcknowledged(Set<String> rolledBack) {
        return writes.stream()
                .filter(write -> write.outcome() == Outcome.ACKNOWLEDGED && rolledBack.contains(logEntry(write)))
                .count();
    }

    /**
     * Checks the promises.
     *
     * @param occurrencesInLog tells how often the newest primary's log holds an item with its number
     * @param rolledBack what was dropped with the log of a superseded primary
     * @param superseded what was committed at a primary after another had been promoted
     * @return what was broken, one line each
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
