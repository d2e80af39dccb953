package org.banyanhook.testbed.faultproxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** The bytes of one direction of a connection, delivered late and in order. Runs on one event loop. */
final class Direction {

    private static final int MAXIMUM_PENDING_BYTES = 4 << 20;
    private static final long FREEZE_POLL_MILLIS = 5;

    private record Pending(ByteBuf data, long dueNanos) {}

    private final boolean towardsServer;
    private final Channel source;
    private final Channel target;
    private final LinkFaults faults;
    private final Random random;
    private final Deque<Pending> queue = new ArrayDeque<>();
    private long lastDueNanos = System.nanoTime();
    private int pendingBytes;
    private boolean scheduled;
    private boolean ending;
    private boolean lost;

    Direction(boolean towardsServer, Channel source, Channel target, LinkFaults faults, Random random) {
        this.towardsServer = towardsServer;
        this.source = source;
        this.target = target;
        this.faults = faults;
        this.random = random;
    }

    void pass(ByteBuf data, long extraMillis) {
        if (lost || ending || faults.drops(towardsServer)) {
            lost = true;
            data.release();
            return;
        }
        long jitterMicros = faults.jitterMicros() == 0 ? 0 : random.nextLong(faults.jitterMicros() + 1);
        long delayNanos = TimeUnit.MICROSECONDS.toNanos(faults.delayMicros() + jitterMicros)
                + TimeUnit.MILLISECONDS.toNanos(extraMillis);
        lastDueNanos = Math.max(lastDueNanos, System.nanoTime() + delayNanos);
        queue.addLast(new Pending(data, lastDueNanos));
        pendingBytes += data.readableBytes();
        source.config().setAutoRead(pendingBytes < MAXIMUM_PENDING_BYTES);
        deliver();
    }

    /** Closes the target once all pending bytes are delivered. */
    void endAfterPending() {
        ending = true;
        deliver();
    }

    private void deliver() {
        if (scheduled) {
            return;
        }
        while (!queue.isEmpty()) {
            long waitNanos = queue.getFirst().dueNanos() - System.nanoTime();
            if (faults.isFrozen()) {
                waitNanos = TimeUnit.MILLISECONDS.toNanos(FREEZE_POLL_MILLIS);
            }
            if (waitNanos > 0) {
                scheduled = true;
                target.eventLoop().schedule(this::deliverScheduled, waitNanos, TimeUnit.NANOSECONDS);
                return;
            }
            ByteBuf data = queue.removeFirst().data();
            pendingBytes -= data.readableBytes();
            target.writeAndFlush(data);
        }
        source.config().setAutoRead(true);
        if (ending && !lost) {
            target.close();
        }
    }

    private void deliverScheduled() {
        scheduled = false;
        deliver();
    }
}
