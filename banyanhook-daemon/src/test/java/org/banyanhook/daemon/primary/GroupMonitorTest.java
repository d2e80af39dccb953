package org.banyanhook.daemon.primary;

import static com.google.common.truth.Truth.assertThat;
import static java.util.Objects.requireNonNull;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.banyanhook.core.configuration.BackendServer;
import org.banyanhook.core.configuration.Database;
import org.banyanhook.core.replication.LogPosition;
import org.junit.jupiter.api.Test;

/**
 * Guards against a confirmation that completes before the snapshot contains its position: the caller would then find
 * the confirmed position not durable.
 */
final class GroupMonitorTest {

    private static final LogPosition POSITION = new LogPosition(3, 11);

    @Test
    void publishesTheSnapshotBeforeCompletingAConfirmation() {
        FakeGroupControl group = new FakeGroupControl(3);
        group.establishPrimary("m0", 3, 11);
        AtomicLong clock = new AtomicLong(1);
        ControllerContext context = new ControllerContext(
                group,
                Runnable::run,
                Runnable::run,
                clock::incrementAndGet,
                new PrimaryMetrics(new SimpleMeterRegistry()));
        List<BackendServer> members = new ArrayList<>();
        for (int index = 0; index < 3; index++) {
            members.add(new BackendServer("m" + index, "d0", "127.0.0.1:" + (index + 1), false));
        }
        AtomicReference<GroupSnapshot> snapshot = new AtomicReference<>();
        GroupMonitor monitor = new GroupMonitor(context, new Database("orders", members, 8, 2), snapshot::set);
        CompletableFuture<Void> confirmed = new CompletableFuture<>();
        CompletableFuture<Boolean> durableOnCompletion =
                confirmed.thenApply(done -> requireNonNull(snapshot.get()).isDurable(POSITION));
        monitor.confirm(new ConfirmationQueue.PendingConfirmation(POSITION, 1, Long.MAX_VALUE, confirmed));
        assertThat(durableOnCompletion.isDone()).isTrue();
        assertThat(durableOnCompletion.join()).isTrue();
    }
}
