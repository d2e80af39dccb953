package org.banyanhook.testbed.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.testbed.http.JsonAnswer;
import org.banyanhook.testbed.platform.PlatformFaults;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Primaries that fail under writers: no acknowledged write may be lost, and the gap stays below the bound. */
final class PrimaryFailoverIT {

    private static final Logger LOGGER = LogManager.getLogger(PrimaryFailoverIT.class);
    private static final long START_TIMEOUT_MILLIS = 120_000;
    private static final long MAXIMUM_GAP_MILLIS = 19_000;
    private static final long WARM_UP_MILLIS = 2_000;
    private static final long REPAIR_TIMEOUT_MILLIS = 30_000;
    private static final int WRITES_AFTER = 40;

    private static LocalFleet fleet;

    @BeforeAll
    static void start() throws IOException, InterruptedException {
        fleet = LocalFleet.start(FleetScenario.named("hanbit"), 1, START_TIMEOUT_MILLIS);
    }

    @AfterAll
    static void stop() throws IOException {
        fleet.close();
    }

    /** Causes or ends a fault of a member. */
    @FunctionalInterface
    private interface Fault {
        void apply(FleetMember member) throws IOException, InterruptedException;
    }

    @Test
    void primaryKilled() throws IOException, InterruptedException {
        drive("killed", database(0), member -> member.process().kill(), member -> {});
    }

    @Test
    void primaryKilledWhilePlatformIsDown() throws IOException, InterruptedException {
        PlatformFaults.Change down = new PlatformFaults.Change(true, null, null, null);
        PlatformFaults.Change up = new PlatformFaults.Change(false, null, null, null);
        fleet.platform().changeFaults(down);
        try {
            drive(
                    "killed-platform-down",
                    database(1),
                    member -> member.process().kill(),
                    member -> {});
        } finally {
            fleet.platform().changeFaults(up);
        }
    }

    @Test
    void primaryFrozenAndThawed() throws IOException, InterruptedException {
        drive(
                "frozen",
                database(2),
                member -> member.process().freeze(),
                member -> member.process().thaw());
    }

    @Test
    void primaryCutOff() throws IOException, InterruptedException {
        drive(
                "cut",
                database(2),
                member -> member.proxy().cut(),
                member -> member.proxy().faults().heal());
    }

    @Test
    void primaryCutOffWithItsClientsStillWriting() throws IOException, InterruptedException {
        drive(
                "one-way",
                database(2),
                member -> member.proxy().faults().dropAnswers(true),
                member -> member.proxy().faults().heal());
    }

    private static String database(int number) {
        return fleet.scenario().databases().get(number);
    }

    private static void drive(String name, String database, Fault begin, Fault end)
            throws IOException, InterruptedException {
        FleetMember before = fleet.primary(database).orElseThrow();
        long termBefore = before.status(fleet.client()).number("term");
        try (AcknowledgedWriters writers = new AcknowledgedWriters(fleet, database, name)) {
            TimeUnit.MILLISECONDS.sleep(WARM_UP_MILLIS);
            int acknowledgedBefore = writers.count();
            assertThat(acknowledgedBefore).isGreaterThan(0);
            long faultNanos = System.nanoTime();
            begin.apply(before);
            int wanted = acknowledgedBefore + WRITES_AFTER;
            await(MAXIMUM_GAP_MILLIS, () -> writers.count() >= wanted);
            long gapMillis = writers.longestGapMillis(faultNanos);
            end.apply(before);
            await(REPAIR_TIMEOUT_MILLIS, () -> follows(before, database));
            writers.close();
            LOGGER.info(
                    "fault {}: gap {} ms, {} acknowledged, refusals {}",
                    name,
                    gapMillis,
                    writers.count(),
                    writers.refusals());
            assertWithMessage("writes acknowledged after fault %s; refusals %s", name, writers.refusals())
                    .that(writers.count())
                    .isAtLeast(wanted);
            assertWithMessage("gap after fault %s", name).that(gapMillis).isLessThan(MAXIMUM_GAP_MILLIS);
            FleetMember after = fleet.primary(database).orElseThrow();
            assertThat(after.status(fleet.client()).number("term")).isGreaterThan(termBefore);
            for (EntryVmProcess entryVm : fleet.entryVms()) {
                assertWithMessage("through %s after fault %s", entryVm.name(), name)
                        .that(writers.missing(entryVm))
                        .isEmpty();
            }
        }
        assertWithMessage("%s follows the new primary after fault %s", before.name(), name)
                .that(follows(before, database))
                .isTrue();
    }

    /** Tells whether a former primary is dead, or replicates in the term of the present one. */
    private static boolean follows(FleetMember former, String database) {
        if (!former.process().isAlive()) {
            return true;
        }
        Optional<FleetMember> primary = fleet.primary(database);
        if (primary.isEmpty()) {
            return false;
        }
        JsonAnswer now = primary.get().status(fleet.client());
        JsonAnswer status = former.status(fleet.client());
        return primary.get() == former
                || (status.text("role").equals("replica") && status.number("term") == now.number("term"));
    }

    private static void await(long timeoutMillis, BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (!condition.getAsBoolean() && System.nanoTime() - deadline < 0) {
            TimeUnit.MILLISECONDS.sleep(50);
        }
    }
}
