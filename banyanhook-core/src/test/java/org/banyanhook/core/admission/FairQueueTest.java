package org.banyanhook.core.admission;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests that the queue divides service by weight, bounds every account and loses no item. */
final class FairQueueTest {

    private static final long FAR_DEADLINE = 1_000_000;

    @Test
    void servesAccountsByWeightWhileOneFloodsTheQueue() {
        FairQueue<String> queue = new FairQueue<>(1000, 1000);
        for (int index = 0; index < 600; index++) {
            queue.offer("flood", 1, "flood", FAR_DEADLINE, 0);
        }
        for (int index = 0; index < 60; index++) {
            queue.offer("large", 3, "large", FAR_DEADLINE, 0);
            queue.offer("small", 1, "small", FAR_DEADLINE, 0);
        }
        Map<String, Integer> served = new HashMap<>();
        for (int index = 0; index < 50; index++) {
            served.merge(queue.poll(1).orElseThrow(), 1, Integer::sum);
        }
        assertThat(served).containsExactly("flood", 10, "large", 30, "small", 10);
    }

    @Test
    void fullQueueDisplacesNewestOfLongestQueue() {
        FairQueue<String> queue = new FairQueue<>(3, 3);
        queue.offer("flood", 1, "first", FAR_DEADLINE, 0);
        queue.offer("flood", 1, "second", FAR_DEADLINE, 0);
        queue.offer("flood", 1, "third", FAR_DEADLINE, 0);
        AdmissionDecision<String> decision = queue.offer("small", 1, "fourth", FAR_DEADLINE, 0);
        assertThat(decision.isQueued()).isTrue();
        assertThat(decision.displaced()).hasValue("third");
        assertThat(drain(queue, 1)).containsExactly("first", "fourth", "second").inOrder();
    }

    @Test
    void fullQueueRefusesTheAccountWithTheLongestQueue() {
        FairQueue<String> queue = new FairQueue<>(2, 9);
        queue.offer("flood", 1, "first", FAR_DEADLINE, 0);
        queue.offer("flood", 1, "second", FAR_DEADLINE, 0);
        AdmissionDecision<String> decision = queue.offer("flood", 1, "third", FAR_DEADLINE, 0);
        assertThat(decision.reason()).isEqualTo(AdmissionDecision.Reason.OWN_QUEUE_LONGEST);
        assertThat(queue.size()).isEqualTo(2);
    }

    @Test
    void expiredItemsAreNeverServedAndAllReturned() {
        FairQueue<String> queue = new FairQueue<>(9, 9);
        queue.offer("account", 1, "short", 10, 0);
        queue.offer("account", 1, "long", FAR_DEADLINE, 0);
        queue.offer("other", 1, "short too", 10, 0);
        assertThat(drain(queue, 10)).containsExactly("long");
        assertThat(queue.removeExpired(10)).containsExactly("short", "short too");
        assertThat(queue.size()).isEqualTo(0);
    }

    @Test
    void itemWhoseDeadlineHasPassedIsRefused() {
        FairQueue<String> queue = new FairQueue<>(9, 9);
        assertThat(queue.offer("account", 1, "late", 5, 5).reason())
                .isEqualTo(AdmissionDecision.Reason.DEADLINE_PASSED);
    }

    /** Under random traffic, every queued item is served, displaced or expired exactly once. */
    @Test
    void everyItemLeavesExactlyOnce() {
        for (long seed = 1; seed <= 200; seed++) {
            Random random = new Random(seed);
            FairQueue<Integer> queue = new FairQueue<>(8, 5);
            List<Integer> accepted = new ArrayList<>();
            List<Integer> left = new ArrayList<>();
            for (int step = 0; step < 300; step++) {
                if (random.nextInt(3) > 0) {
                    int item = step;
                    String account = "account-" + random.nextInt(4);
                    AdmissionDecision<Integer> decision =
                            queue.offer(account, 1 + random.nextInt(3), item, step + 1 + random.nextInt(20), step);
                    if (decision.isQueued()) {
                        accepted.add(item);
                    }
                    decision.displaced().ifPresent(left::add);
                } else {
                    queue.poll(step).ifPresent(left::add);
                }
                if (random.nextInt(10) == 0) {
                    left.addAll(queue.removeExpired(step));
                }
            }
            left.addAll(drain(queue, 300));
            left.addAll(queue.removeExpired(1000));
            assertWithMessage("seed %s", seed).that(left).containsExactlyElementsIn(accepted);
            assertWithMessage("seed %s", seed).that(queue.size()).isEqualTo(0);
        }
    }

    private static <T> List<T> drain(FairQueue<T> queue, long nowNanos) {
        List<T> items = new ArrayList<>();
        Optional<T> item = queue.poll(nowNanos);
        while (item.isPresent()) {
            items.add(item.get());
            item = queue.poll(nowNanos);
        }
        return items;
    }

    @Test
    void itemTakenOutOfTurnCountsAgainstTheNextTurn() {
        FairQueue<String> queue = new FairQueue<>(10, 10);
        for (String item : List.of("a1", "a2", "a3")) {
            queue.offer("a", 1, item, 1_000, 0);
        }
        queue.offer("b", 1, "b1", 1_000, 0);
        queue.offer("b", 1, "b2", 1_000, 0);
        assertThat(queue.poll("a", 0)).hasValue("a1");
        assertThat(queue.poll(0)).hasValue("b1");
        assertThat(queue.poll(0)).hasValue("a2");
        assertThat(queue.poll("c", 0)).isEmpty();
        assertThat(queue.size()).isEqualTo(2);
    }

    @Test
    void accountIsRemovedWhenItsLastItemIsTakenOutOfTurn() {
        FairQueue<String> queue = new FairQueue<>(10, 10);
        queue.offer("a", 1, "a1", 1_000, 0);
        assertThat(queue.poll("a", 0)).hasValue("a1");
        assertThat(queue.size()).isEqualTo(0);
        assertThat(queue.poll(0)).isEmpty();
    }
}
