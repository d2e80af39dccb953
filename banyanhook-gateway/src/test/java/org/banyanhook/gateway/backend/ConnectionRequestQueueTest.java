package org.banyanhook.gateway.backend;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.banyanhook.core.scheduling.AdmissionEstimator;
import org.banyanhook.gateway.message.SessionError;
import org.banyanhook.gateway.operation.GatewayMetrics;
import org.junit.jupiter.api.Test;

/** Guards against requests that are blocked by, or overtaken because of, requests that cannot be placed. */
final class ConnectionRequestQueueTest {

    private static final long DEADLINE_NANOS = 1_000_000;

    private final GatewayMetrics metrics = new GatewayMetrics();
    private final ConnectionRequestQueue queue = new ConnectionRequestQueue("a member", metrics);
    private final List<String> refusals = new ArrayList<>();
    private final List<String> placed = new ArrayList<>();

    /** A read that may only run at the primary's position blocked all reads behind it. */
    @Test
    void requestThatCannotBePlacedDoesNotBlockTheNext() {
        add("blocked");
        add("reader");
        dispatchAllBut("blocked");
        assertThat(placed).containsExactly("reader");
    }

    /** Requests that could not be placed lost their turn to later ones of their account. */
    @Test
    void requestsThatCouldNotBePlacedKeepTheirOrder() {
        List.of("blocked-1", "blocked-2", "blocked-3").forEach(this::add);
        dispatchAllBut("blocked");
        dispatchAllBut("none");
        assertThat(placed)
                .containsExactly("blocked-1", "blocked-2", "blocked-3")
                .inOrder();
    }

    /** Guards against requests that block others for good because more of them wait than are passed over at once. */
    @Test
    void manyRequestsThatCannotBePlacedDoNotBlockOthersForGood() {
        for (int number = 0; number < 40; number++) {
            add("blocked-" + number);
        }
        add("reader");
        for (int dispatch = 0; dispatch < 3; dispatch++) {
            dispatchAllBut("blocked");
        }
        assertThat(placed).containsExactly("reader");
    }

    /** Guards against requests that wait in vain, and against refusals that do not say when to retry. */
    @Test
    void requestThatCannotBeServedInTimeIsRefusedWithTheTime() {
        for (int sample = 0; sample < 20; sample++) {
            queue.estimator().recordHold(500_000);
        }
        for (int number = 0; number < 6; number++) {
            queue.addByPriority(
                    request("account" + number), ahead -> new AdmissionEstimator.QueueState(ahead, 1, true), 0);
        }
        assertThat(refusals).containsExactly("queue: QUEUE_TOO_LONG; retry after 2 ms");
        assertThat(metrics.scrape()).contains("banyanhook_admission_estimates_total{result=\"refused\"} 1.0");
        queue.refuseExpired(DEADLINE_NANOS);
        assertThat(metrics.scrape()).contains("banyanhook_admission_estimates_total{result=\"held-timed-out\"} 5.0");
    }

    /** Late requests were not examined while 16 or more others waited that could not be placed. */
    @Test
    void lateRequestIsPlacedWhileManyOthersCannotBe() {
        for (int number = 0; number < 40; number++) {
            addWithObjective("blocked-" + number, 0, 900_000);
        }
        addWithObjective("reader", 0, 100_000);
        for (int dispatch = 0; dispatch < 4; dispatch++) {
            dispatchAllBut("blocked", 500_000);
        }
        assertThat(placed).containsExactly("reader");
    }

    /** Guards against late requests that block those of lower priorities and later ones of their account. */
    @Test
    void lateRequestsThatCannotBePlacedDoNotBlockOtherLateOnes() {
        for (int number = 0; number < 20; number++) {
            addWithObjective("blocked-" + number, 0, 900_000);
            addWithObjective("blocked", 0, 100_000 + number);
            addWithObjective("blocked", 1, 100_000 + number);
        }
        addWithObjective("reader", 1, 200_000);
        for (int dispatch = 0; dispatch < 20; dispatch++) {
            dispatchAllBut("blocked", 500_000);
        }
        assertThat(placed).containsExactly("reader");
    }

    private void addWithObjective(String account, int priority, long targetNanos) {
        ConnectionRequest request = request(account);
        request.objective(priority, targetNanos);
        queue.addByPriority(request, ahead -> new AdmissionEstimator.QueueState(ahead, 1, true), 0);
    }

    private void add(String account) {
        queue.add(request(account), 0);
    }

    private void dispatchAllBut(String blocked) {
        dispatchAllBut(blocked, 0);
    }

    private void dispatchAllBut(String blocked, long nowNanos) {
        queue.dispatch(
                request -> {
                    boolean possible = !request.account().startsWith(blocked);
                    if (possible) {
                        placed.add(request.account());
                    }
                    return possible;
                },
                nowNanos);
    }

    private ConnectionRequest request(String account) {
        return new ConnectionRequest(
                account,
                1,
                new ConnectionRequest.Requirements(false, 0, null, Set.of()),
                0,
                DEADLINE_NANOS,
                new ConnectionRequestListener() {
                    @Override
                    public void onConnectionLeased(ConnectionLease lease, Placement placement) {
                        throw new AssertionError("no connection is open");
                    }

                    @Override
                    public void onRefused(SessionError error, String detail) {
                        refusals.add(detail);
                    }
                });
    }
}
