package org.banyanhook.testbed.rate;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.banyanhook.core.rate.AllotmentAction;
import org.banyanhook.core.rate.FleetRateLimiter;
import org.banyanhook.core.rate.PendingTokenRequests;
import org.banyanhook.core.rate.TokenAction;

/** One process of the daemon, reduced to its rates: carries out what {@link FleetRateLimiter} decides. */
final class RateProcess implements FaultyNetwork.Place {

    private static final long PEER_TIMEOUT_NANOS = 300_000_000;
    private static final long PLATFORM_TIMEOUT_NANOS = 1_000_000_000;
    private static final long VIEW_LAG_NANOS = 1_000_000_000;

    private final RateWorld world;
    private final String name;
    private final String failureDomain;
    private final long incarnation;
    private final long clockOffsetNanos;
    private final Random random;
    private final FleetRateLimiter node;
    private final Map<Long, Consumer<Boolean>> waiters = new HashMap<>();
    private final List<Runnable> heldBack = new ArrayList<>();
    private long lastWaiter;
    private int island;
    private boolean paused;
    private boolean dead;
    private boolean leaving;

    RateProcess(RateWorld world, String name, String failureDomain, long incarnation) {
        this.world = world;
        this.name = name;
        this.failureDomain = failureDomain;
        this.incarnation = incarnation;
        this.random = new Random(world.random().nextLong());
        this.clockOffsetNanos = random.nextInt(1_000_000) * 1_000_000L;
        this.node = FleetRateLimiter.builder(name, failureDomain, incarnation).build(now());
        world.queue().every(20_000_000, () -> deliver(() -> act(node.onTokenTick(now()))));
        world.queue().every(100_000_000, () -> deliver(this::tick));
    }

    long incarnation() {
        return incarnation;
    }

    boolean isAlive() {
        return !dead;
    }

    boolean isPaused() {
        return paused;
    }

    boolean isLeaving() {
        return leaving;
    }

    FleetRateLimiter node() {
        return node;
    }

    void island(int value) {
        island = value;
    }

    void kill() {
        dead = true;
        waiters.values().forEach(waiter -> waiter.accept(false));
        waiters.clear();
    }

    /** Gives the allotment back and dies a while later. */
    void shutDown() {
        leaving = true;
        deliver(() -> node.releaseAllotment(now()));
        world.queue().after(2_000_000_000, this::kill);
    }

    void pause(long nanos) {
        paused = true;
        world.queue().after(nanos, () -> {
            paused = false;
            List<Runnable> tasks = List.copyOf(heldBack);
            heldBack.clear();
            tasks.forEach(this::deliver);
        });
    }

    /** Asks for one token; the outcome is told exactly once. */
    void acquire(String account, long waitNanos, Consumer<Boolean> outcome) {
        if (dead || paused) {
            outcome.accept(false);
            return;
        }
        long waiter = ++lastWaiter;
        waiters.put(waiter, outcome);
        act(node.acquire(account, waiter, now() + waitNanos, now()));
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public String failureDomain() {
        return failureDomain;
    }

    @Override
    public boolean reaches(FaultyNetwork.Place other) {
        if (other instanceof RateProcess peer) {
            return !dead && !peer.dead && island == peer.island;
        }
        return !dead && world.platform().isUp() && island == world.platform().island();
    }

    @Override
    public void deliver(Runnable handler) {
        if (dead) {
            return;
        }
        if (paused) {
            heldBack.add(handler);
            return;
        }
        handler.run();
    }

    private long now() {
        return world.queue().nowNanos() + clockOffsetNanos;
    }

    private void tick() {
        Map<String, List<String>> view = new TreeMap<>();
        for (RateProcess peer : world.processes()) {
            boolean seen = peer == this || (reaches(peer) && !peer.paused);
            if (seen && !peer.leaving) {
                view.computeIfAbsent(peer.failureDomain, domain -> new ArrayList<>())
                        .add(peer.name);
            }
        }
        world.queue().after(VIEW_LAG_NANOS, () -> deliver(() -> node.setRunningEntryVms(view)));
        node.configure(world.configuration(), now());
        for (AllotmentAction action : node.onAllotmentTick(random.nextLong(), now())) {
            carryOut(action);
        }
    }

    private void carryOut(AllotmentAction action) {
        long sent = now();
        if (action instanceof AllotmentAction.ReadRecord) {
            readRecord(sent);
        } else if (action instanceof AllotmentAction.SwapRecord swap) {
            swapRecord(swap, sent);
        } else if (action instanceof AllotmentAction.ReadVirtualMachines) {
            ask(
                    world.platform(),
                    () -> List.copyOf(world.platform().listed(failureDomain)),
                    listed -> event(() -> node.allotment().onVirtualMachinesRead(listed, now())),
                    () -> {});
        } else if (action instanceof AllotmentAction.RenewLeaseAtPeer contact) {
            world.find(contact.peer())
                    .ifPresent(peer -> ask(
                            peer,
                            () -> peer.node.allotment().answerRenewal(name, incarnation, peer.now()),
                            granted -> event(() -> node.allotment().onRenewalAnswered(granted, sent)),
                            () -> {}));
        } else if (action instanceof AllotmentAction.QueryReclaim query) {
            world.find(query.peer()).ifPresent(peer -> queryWitness(peer, query));
        }
    }

    private void readRecord(long sent) {
        ask(
                world.platform(),
                () -> world.platform().read(failureDomain),
                stored -> event(() -> node.allotment().onRecordRead(stored.record(), stored.revision(), sent, now())),
                () -> event(() -> node.allotment().onReadFailed(now())));
    }

    /** Takes in a change that a watch brought; a watch that was sent long ago renews no right. */
    void onWatched(FakePlatform.Stored stored) {
        long longAgo = now() - 60_000_000_000L;
        event(() -> node.allotment().onRecordRead(stored.record(), stored.revision(), longAgo, now()));
    }

    private void swapRecord(AllotmentAction.SwapRecord swap, long sent) {
        ask(
                world.platform(),
                () -> world.platform().swap(failureDomain, swap.record(), swap.expectedRevision()),
                revision -> event(() -> {
                    if (revision.isPresent()) {
                        node.allotment().onSwapped(swap.record(), revision.get(), sent, now());
                    } else {
                        node.allotment().onSwapFailed(now());
                    }
                }),
                () -> event(() -> node.allotment().onSwapFailed(now())));
    }

    private void queryWitness(RateProcess peer, AllotmentAction.QueryReclaim query) {
        ask(
                peer,
                () -> peer.node.allotment().answerReclaimQuery(query.holder(), query.incarnation(), peer.now())
                        >= world.reclaimNanos(),
                silent -> event(() -> node.allotment()
                        .onReclaimQueryAnswered(query.peer(), query.holder(), query.incarnation(), silent)),
                () -> {});
    }

    private <T> void ask(
            FaultyNetwork.Place place,
            java.util.function.Supplier<T> handler,
            Consumer<T> onReply,
            Runnable onTimeout) {
        long timeout = place instanceof RateProcess ? PEER_TIMEOUT_NANOS : PLATFORM_TIMEOUT_NANOS;
        world.network().request(new FaultyNetwork.Exchange<>(this, place, handler), timeout, onReply, onTimeout);
    }

    private void event(Runnable event) {
        node.onAllotmentEvent(event, now());
    }

    private void act(List<TokenAction> actions) {
        for (TokenAction action : actions) {
            if (action instanceof TokenAction.Accept accept) {
                end(accept.requestNumber(), true);
            } else if (action instanceof TokenAction.Refuse refuse) {
                end(refuse.requestNumber(), false);
            } else if (action instanceof TokenAction.RequestTokens ask) {
                askForTokens(ask.request());
            }
        }
    }

    private void askForTokens(PendingTokenRequests.Request request) {
        world.countAsk();
        RateProcess peer = world.find(request.peer()).orElse(null);
        if (peer == null) {
            act(node.onTokenRequestFailed(request.sequence(), now()));
            return;
        }
        ask(
                peer,
                () -> peer.node.lend(request.clientAccount(), request.micros(), name, peer.now()),
                lent -> act(node.onTransfer(request.sequence(), lent.lentMicros(), lent.lendableMicros(), now())),
                () -> act(node.onTokenRequestFailed(request.sequence(), now())));
    }

    private void end(long waiter, boolean accepted) {
        Consumer<Boolean> outcome = waiters.remove(waiter);
        if (outcome != null) {
            outcome.accept(accepted);
        }
    }
}
