package org.banyanhook.core.admission;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.banyanhook.core.admission.AdmissionDecision.Reason;
import org.banyanhook.core.admission.PriorityFairQueue.Waiting;
import org.junit.jupiter.api.Test;

/** Guards against starved priorities and accounts, lost items, and a changed order where all routes are alike. */
final class PriorityFairQueueTest {

    private static final long FAR_DEADLINE = 1_000_000;

    private final PriorityFairQueue<String> queue = new PriorityFairQueue<>(100, 100);

    /** Guards against a lower priority that is never served, or that gets more than its share. */
    @Test
    void lowerPrioritiesGetABoundedShare() {
        for (int index = 0; index < 20; index++) {
            offer("a", 2, 500, "low");
            offer("a", 1, 500, "middle");
            offer("a", 0, 500, "high");
        }
        List<String> served = drain(0).subList(0, 20);
        assertThat(Collections.frequency(served, "high")).isEqualTo(16);
        assertThat(Collections.frequency(served, "middle")).isEqualTo(2);
        assertThat(Collections.frequency(served, "low")).isEqualTo(2);
    }

    /** Guards against an order of arrival where an objective is nearer. */
    @Test
    void nearestObjectiveOfAnAccountIsServedFirst() {
        offer("a", 0, 300, "third");
        offer("a", 0, 100, "first");
        offer("a", 0, 200, "second");
        assertThat(drain(0)).containsExactly("first", "second", "third").inOrder();
    }

    /** Guards against service for late requests while others become late. */
    @Test
    void lateItemsAreServedAfterTimelyOnesOfLowerPriorities() {
        offer("a", 0, 10, "late");
        offer("b", 0, 500, "high");
        offer("a", 2, 500, "low");
        assertThat(drain(11)).containsExactly("high", "low", "late").inOrder();
    }

    /** Guards against an account that takes the service of others of the same priority. */
    @Test
    void accountsOfOnePriorityAreServedByWeight() {
        for (int index = 0; index < 40; index++) {
            queue.offer(new Waiting<>("flood", "flood", 1, ServiceClass.of(0, 100), FAR_DEADLINE), 0);
        }
        for (int index = 0; index < 20; index++) {
            queue.offer(new Waiting<>("large", "large", 3, ServiceClass.of(0, 500), FAR_DEADLINE), 0);
        }
        assertThat(Collections.frequency(drain(0).subList(0, 20), "large")).isEqualTo(15);
    }

    /** Guards against displacement of more valuable requests, or by requests of the account that fills the queue. */
    @Test
    void fullQueueDisplacesTheLowestPriorityAndThenTheLongestAccount() {
        record Case(String account, int priority, Reason reason, String displaced) {}
        List<Case> cases = List.of(
                new Case("c", 0, Reason.DISPLACED_LOWER_PRIORITY, "flood2"),
                new Case("c", 1, Reason.DISPLACED_LOWER_PRIORITY, "flood2"),
                new Case("c", 2, Reason.DISPLACED_LONGEST_QUEUE, "flood2"),
                new Case("flood", 2, Reason.OWN_QUEUE_LONGEST, ""),
                new Case("c", 3, Reason.HIGHER_PRIORITIES_WAIT, ""),
                new Case("busy", 0, Reason.DISPLACED_LOWER_PRIORITY, "busy0"),
                new Case("busy", 1, Reason.ACCOUNT_LIMIT, ""));
        for (Case expected : cases) {
            PriorityFairQueue<String> full = new PriorityFairQueue<>(7, 3);
            List.of("flood1", "flood2").forEach(item -> full.offer(waiting("flood", 2, 500, item), 0));
            full.offer(waiting("b", 2, 500, "b"), 0);
            full.offer(waiting("a", 0, 500, "a"), 0);
            List.of("busy0", "busy0", "busy")
                    .forEach(item -> full.offer(waiting("busy", item.length() - 4, 5, item), 0));
            AdmissionDecision<Waiting<String>> decision =
                    full.offer(waiting(expected.account(), expected.priority(), 500, "new"), 0);
            assertWithMessage("%s", expected).that(decision.reason()).isEqualTo(expected.reason());
            assertWithMessage("%s", expected)
                    .that(decision.displaced().map(Waiting::item).orElse(""))
                    .isEqualTo(expected.displaced());
        }
    }

    /** Guards against a wait estimated from the requests of a flooding account, which are served after the others. */
    @Test
    void aheadOfAnAccountCountsItsTurnsOnly() {
        for (int index = 0; index < 30; index++) {
            offer("flood", 1, 500, "flood");
        }
        offer("a", 0, 500, "high");
        offer("b", 2, 500, "low");
        assertThat(queue.aheadOf("small", 1, 1)).isEqualTo(1 + 1 + 0.5);
        assertThat(queue.aheadOf("flood", 1, 1)).isEqualTo(1 + 30 + 1);
        assertThat(queue.aheadOf("small", 1, 0)).isEqualTo(1 + 0.25);
    }

    /** Guards against a change for deployments whose routes have the same priority, over 200 random histories. */
    @Test
    void uniformItemsAreServedAndDisplacedAsByTheFairQueue() {
        for (long seed = 1; seed <= 200; seed++) {
            Random random = new Random(seed);
            FairQueue<Integer> former = new FairQueue<>(8, 5);
            PriorityFairQueue<Integer> current = new PriorityFairQueue<>(8, 5);
            for (int step = 0; step < 300; step++) {
                String account = "account-" + random.nextInt(4);
                int weight = 1 + random.nextInt(3);
                if (random.nextInt(3) > 0) {
                    long deadline = step + 1 + random.nextInt(20);
                    AdmissionDecision<Integer> expected = former.offer(account, weight, step, deadline, step);
                    AdmissionDecision<Waiting<Integer>> decision =
                            current.offer(new Waiting<>(step, account, weight, ServiceClass.UNIFORM, deadline), step);
                    assertThat(decision.reason()).isEqualTo(expected.reason());
                    assertThat(decision.displaced().map(Waiting::item)).isEqualTo(expected.displaced());
                } else if (random.nextInt(3) > 0) {
                    assertThat(current.poll(step).map(Waiting::item)).isEqualTo(former.poll(step));
                } else {
                    assertThat(current.poll(account, step).map(Waiting::item)).isEqualTo(former.poll(account, step));
                }
                assertWithMessage("seed %s", seed).that(current.size()).isEqualTo(former.size());
            }
        }
    }

    /** Guards against items that are lost, served twice, or out of turn after they could not be placed. */
    @Test
    void restoredItemsAreServedInTheirFormerOrder() {
        for (String item : List.of("a1", "a2", "b1", "b2", "c1")) {
            offer(item.substring(0, 1), 0, 500, item);
        }
        List<Waiting<String>> polled = new ArrayList<>();
        for (int index = 0; index < 4; index++) {
            polled.add(queue.poll(0).orElseThrow());
        }
        Collections.reverse(polled);
        polled.forEach(waiting -> queue.restore(waiting, 0));
        assertThat(drain(0)).containsExactly("a1", "b1", "c1", "a2", "b2").inOrder();
    }

    private void offer(String account, int priority, long latestStart, String item) {
        queue.offer(waiting(account, priority, latestStart, item), 0);
    }

    private static Waiting<String> waiting(String account, int priority, long latestStart, String item) {
        return new Waiting<>(item, account, 1, ServiceClass.of(priority, latestStart), FAR_DEADLINE);
    }

    private List<String> drain(long nowNanos) {
        List<String> items = new ArrayList<>();
        for (Optional<Waiting<String>> next = queue.poll(nowNanos); next.isPresent(); next = queue.poll(nowNanos)) {
            items.add(next.get().item());
        }
        return items;
    }
}
