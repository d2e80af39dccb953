package org.banyanhook.testbed.rate;

import java.util.Random;
import java.util.function.Consumer;

/** Delivers messages between processes and the platform late, not at all, twice or in another order. */
final class FaultyNetwork {

    /** The name under which the platform takes part in cuts. */
    static final String PLATFORM = "platform";

    private static final long NEAR_NANOS = 500_000;
    private static final long FAR_NANOS = 10_000_000;

    private final EventQueue queue;
    private final Random random;
    private double lossProbability;
    private double duplicateProbability;
    private double lateProbability;

    FaultyNetwork(EventQueue queue, Random random) {
        this.queue = queue;
        this.random = random;
    }

    void faults(double loss, double duplicate, double late) {
        lossProbability = loss;
        duplicateProbability = duplicate;
        lateProbability = late;
    }

    /** Sends a message between two places; what arrives twice is handled twice. */
    void send(Place from, Place to, boolean mayDuplicate, Runnable handler) {
        int copies = mayDuplicate && random.nextDouble() < duplicateProbability ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            if (random.nextDouble() >= lossProbability && from.reaches(to)) {
                queue.after(delayNanos(from, to), () -> {
                    if (from.reaches(to)) {
                        to.deliver(handler);
                    }
                });
            }
        }
    }

    /**
     * Sends a request and its reply.
     *
     * @param exchange the places and the handler at the receiver, which gives the reply
     * @param timeoutNanos after which the sender is told that no reply came
     * @param onReply called for every copy of the reply, also after the timeout
     * @param onTimeout called if no reply came in time
     */
    <T> void request(Exchange<T> exchange, long timeoutNanos, Consumer<T> onReply, Runnable onTimeout) {
        boolean[] replied = new boolean[1];
        boolean mayDuplicate = !exchange.to().name().equals(PLATFORM);
        send(exchange.from(), exchange.to(), mayDuplicate, () -> {
            T reply = exchange.handler().get();
            send(exchange.to(), exchange.from(), mayDuplicate, () -> {
                replied[0] = true;
                onReply.accept(reply);
            });
        });
        queue.after(
                timeoutNanos,
                () -> exchange.from().deliver(() -> {
                    if (!replied[0]) {
                        onTimeout.run();
                    }
                }));
    }

    private long delayNanos(Place from, Place to) {
        long base = from.failureDomain().equals(to.failureDomain()) ? NEAR_NANOS : FAR_NANOS;
        if (random.nextDouble() < lateProbability) {
            return base + (long) (random.nextDouble() * 3e9);
        }
        return base + (long) (random.nextDouble() * base);
    }

    /** Where messages come from and go to. */
    interface Place {
        String name();

        String failureDomain();

        boolean reaches(Place other);

        void deliver(Runnable handler);
    }

    /** A request between two places. */
    record Exchange<T>(Place from, Place to, java.util.function.Supplier<T> handler) {}
}
