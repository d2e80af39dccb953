package org.banyanhook.daemon.rate;

import static com.google.common.truth.Truth.assertThat;
import static java.util.Objects.requireNonNull;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.io.Closer;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.banyanhook.core.configuration.ClientAccount;
import org.banyanhook.core.configuration.FailureDomain;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.core.rate.AllotmentRecord;
import org.banyanhook.core.rate.RateTimings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Runs controllers of several entry VMs against a platform and peer connections in memory, on the real clock. */
final class AllotmentControllerTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final Duration MAXIMUM_WAIT = Duration.ofMillis(300);
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final RateTimings TIMINGS = new RateTimings(
            1_000 * NANOS_PER_MILLI,
            1_500 * NANOS_PER_MILLI,
            500 * NANOS_PER_MILLI,
            200 * NANOS_PER_MILLI,
            250 * NANOS_PER_MILLI);
    private static final ClientAccount ACCOUNT = new ClientAccount("dispatch", List.of(), 100, 16, 1);
    private static final FleetConfiguration CONFIGURATION = new FleetConfiguration(
            1,
            List.of(new FailureDomain("ulsan-a", "yeongnam", 1, false)),
            List.of(ACCOUNT),
            List.of(),
            Set.of(),
            List.of(),
            List.of());

    private final Closer closer = Closer.create();
    private final InMemoryFleet fleet = new InMemoryFleet();

    @AfterEach
    void closeControllers() throws IOException {
        closer.close();
    }

    @Test
    void acceptsTheBurstAndRefusesFurtherRequestsWithRetryDelay() {
        AllotmentController controller = start("vm-1", 1);
        awaitAccepted(controller);
        List<CompletableFuture<Void>> outcomes = IntStream.range(0, 200)
                .mapToObj(i -> controller.acquire("dispatch", Duration.ZERO))
                .toList();
        CompletableFuture.allOf(outcomes.toArray(CompletableFuture[]::new))
                .handle((none, failure) -> none)
                .join();
        List<CompletableFuture<Void>> refused = outcomes.stream()
                .filter(CompletableFuture::isCompletedExceptionally)
                .toList();
        assertThat(refused.size()).isAtLeast(100);
        RefusalException refusal = refusal(refused.get(0));
        assertThat(refusal.kind()).isEqualTo(RefusalKind.RATE_EXCEEDED);
        assertThat(refusal.retryAfter()).isPresent();
        assertThat(refusal(controller.acquire("nobody", MAXIMUM_WAIT)).kind()).isEqualTo(RefusalKind.RATE_EXCEEDED);
    }

    // Guards against never using an allotment that the platform stored although the response to the write was lost.
    @Test
    void usesAnEntryWhoseWriteResponseWasLost() {
        fleet.loseSwapResponses(1);
        AllotmentController controller = start("vm-1", 1);
        awaitAccepted(controller);
        assertThat(fleet.units("vm-1")).isEqualTo(AllotmentRecord.UNITS_PER_GROUP);
    }

    // Guards against units that stay allocated to an entry VM after its shutdown.
    @Test
    void dividesTheUnitsAndReleasesThemAtShutdown() {
        AllotmentController first = start("vm-1", 1);
        awaitAccepted(first);
        AllotmentController second = start("vm-2", 2);
        await().atMost(TIMEOUT).until(() -> fleet.units("vm-2") == AllotmentRecord.UNITS_PER_GROUP / 2);
        assertThat(fleet.units("vm-1")).isEqualTo(AllotmentRecord.UNITS_PER_GROUP / 2);
        fleet.removeMember("vm-2");
        second.releaseAllotment().join();
        await().atMost(TIMEOUT).until(() -> fleet.units("vm-1") == AllotmentRecord.UNITS_PER_GROUP);
        assertThat(refusal(second.acquire("dispatch", Duration.ZERO)).kind()).isEqualTo(RefusalKind.RATE_EXCEEDED);
    }

    // Guards against refusing all requests on an entry VM that starts during a platform outage.
    @Test
    void borrowsFromAPeerWhenStartedWithoutThePlatform() {
        AllotmentController first = start("vm-1", 1);
        awaitAccepted(first);
        fleet.unavailable(true);
        AllotmentController second = start("vm-2", 2);
        awaitAccepted(second);
        assertThat(fleet.units("vm-2")).isEqualTo(0);
    }

    // Guards against accruing and spending tokens after the allotment lease has expired.
    @Test
    void stopsWithoutPlatformAndPeersAndResumesAfterRecovery() {
        AllotmentController first = start("vm-1", 1);
        AllotmentController second = start("vm-2", 2);
        awaitAccepted(first);
        awaitAccepted(second);
        fleet.unavailable(true);
        fleet.isolate("vm-1");
        await().atMost(TIMEOUT).until(() -> !isAccepted(first));
        await().atMost(TIMEOUT).until(() -> !isAccepted(second));
        fleet.unavailable(false);
        awaitAccepted(first);
        awaitAccepted(second);
    }

    // Guards against units that stay allocated to a process that ended without releasing them.
    @Test
    void newProcessReclaimsTheEntryOfItsFormerIncarnation() {
        start("vm-1", 1);
        AllotmentController former = start("vm-2", 2);
        awaitAccepted(former);
        await().atMost(TIMEOUT).until(() -> fleet.units("vm-2") > 0);
        former.close();
        AllotmentController next = start("vm-2", 3);
        await().atMost(TIMEOUT).until(() -> fleet.storedRecord().contains("\"incarnation\":3"));
        awaitAccepted(next);
    }

    // Guards against overwriting a record whose format is not known.
    @Test
    void neverReplacesAnUnreadableRecord() {
        fleet.setRecord("{\"format\":9,\"holders\":[]}");
        AllotmentController controller = start("vm-1", 1);
        assertThat(refusal(controller.acquire("dispatch", MAXIMUM_WAIT)).kind()).isEqualTo(RefusalKind.RATE_EXCEEDED);
        assertThat(fleet.storedRecord()).contains("\"format\":9");
    }

    private AllotmentController start(String name, long incarnation) {
        fleet.removeMember(name);
        fleet.addMember(name);
        AllotmentController controller = AllotmentController.builder(name, "ulsan-a", incarnation)
                .messenger(fleet.messenger(name))
                .platform(fleet)
                .membership(fleet::members)
                .configuration(() -> CONFIGURATION)
                .timings(TIMINGS)
                .build();
        closer.register(controller::close);
        controller.start();
        return controller;
    }

    private static void awaitAccepted(AllotmentController controller) {
        await().atMost(TIMEOUT).until(() -> isAccepted(controller));
    }

    private static boolean isAccepted(AllotmentController controller) throws Exception {
        try {
            controller.acquire("dispatch", MAXIMUM_WAIT).get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
            return true;
        } catch (ExecutionException refused) {
            return false;
        }
    }

    private static RefusalException refusal(CompletableFuture<Void> outcome) {
        ExecutionException failure = assertThrows(ExecutionException.class, () -> outcome.get(10, TimeUnit.SECONDS));
        return (RefusalException) requireNonNull(failure.getCause());
    }
}
