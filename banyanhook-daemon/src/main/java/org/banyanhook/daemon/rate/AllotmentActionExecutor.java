package org.banyanhook.daemon.rate;

import io.micrometer.core.instrument.Counter;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.core.rate.AllotmentAction;
import org.banyanhook.core.rate.AllotmentRecord;
import org.banyanhook.core.rate.RateNode;
import org.banyanhook.core.rate.RateTimings;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.daemon.platform.PlatformClient;
import org.banyanhook.daemon.platform.PlatformException;
import org.banyanhook.daemon.platform.StoredValue;
import org.banyanhook.daemon.platform.VirtualMachine;
import org.banyanhook.protocol.generated.AllotmentReclaimAnswer;
import org.banyanhook.protocol.generated.AllotmentReclaimQuery;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.jspecify.annotations.Nullable;

/**
 * Sends what the allotment needs to the platform and to peers, and feeds the answers back on the duty's thread. Used on
 * the duty's thread only.
 */
final class AllotmentActionExecutor {

    private static final Logger LOGGER = LogManager.getLogger(AllotmentActionExecutor.class);
    private static final Duration WATCH_WAIT = Duration.ofSeconds(60);
    private static final Duration PEER_TIMEOUT = Duration.ofSeconds(1);
    private static final long WATCH_RETRY_NANOS = Duration.ofSeconds(5).toNanos();
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final RateNode node;
    private final Identity identity;
    private final PlatformClient platform;
    private final PeerMessenger messenger;
    private final Function<String, Optional<String>> addresses;
    private final Consumer<Runnable> dutyThread;
    private final Counter platformCalls;
    private final RateTimings timings;
    private boolean watching;
    private long nextWatchNanos = System.nanoTime();

    /** Who sends. */
    record Identity(String entryVm, String failureDomain, long incarnation) {
        String key() {
            return "allotment/" + failureDomain;
        }
    }

    /** What is needed to send, and where events go back to. */
    record Dependencies(
            PlatformClient platform,
            PeerMessenger messenger,
            Function<String, Optional<String>> addresses,
            Consumer<Runnable> dutyThread,
            Counter platformCalls) {}

    AllotmentActionExecutor(RateNode node, Identity identity, RateTimings timings, Dependencies environment) {
        this.node = node;
        this.identity = identity;
        this.timings = timings;
        this.platform = environment.platform();
        this.messenger = environment.messenger();
        this.addresses = environment.addresses();
        this.dutyThread = environment.dutyThread();
        this.platformCalls = environment.platformCalls();
    }

    void carryOut(List<AllotmentAction> actions) {
        for (AllotmentAction action : actions) {
            if (action instanceof AllotmentAction.ReadRecord) {
                read();
            } else if (action instanceof AllotmentAction.SwapRecord swap) {
                swap(swap);
            } else if (action instanceof AllotmentAction.ReadVirtualMachines) {
                readVirtualMachines();
            } else if (action instanceof AllotmentAction.ContactPeer contact) {
                contact(contact.peer());
            } else if (action instanceof AllotmentAction.QueryWitness query) {
                queryWitness(query);
            }
        }
    }

    /** Keeps one watch on the record open, once it has been read. */
    void keepWatching() {
        long revision = node.allotment().revision();
        if (watching || revision < 0 || System.nanoTime() - nextWatchNanos < 0) {
            return;
        }
        watching = true;
        platformCalls.increment();
        long sent = System.nanoTime();
        platform.watch(identity.key(), revision, WATCH_WAIT)
                .whenComplete((value, failure) -> dutyThread.accept(() -> {
                    watching = false;
                    if (failure != null) {
                        nextWatchNanos = System.nanoTime() + WATCH_RETRY_NANOS;
                    } else if (value.isPresent()) {
                        onValue(value, sent);
                    }
                }));
    }

    private void read() {
        platformCalls.increment();
        long sent = System.nanoTime();
        platform.read(identity.key())
                .whenComplete((value, failure) -> dutyThread.accept(() -> {
                    if (failure == null) {
                        onValue(value, sent);
                    } else {
                        LOGGER.info("no answer to reading {}: {}", identity.key(), failure.toString());
                        event(() -> node.allotment().onReadFailed(System.nanoTime()));
                    }
                }));
    }

    private void onValue(Optional<StoredValue> value, long sent) {
        try {
            AllotmentRecord record =
                    value.isPresent() ? AllotmentRecordCodec.decode(value.get().value()) : AllotmentRecord.EMPTY;
            long revision = value.map(StoredValue::revision).orElse(0L);
            event(() -> node.allotment().onRecordRead(record, revision, sent, System.nanoTime()));
        } catch (PlatformException exception) {
            LOGGER.error("{}", exception.getMessage());
            event(() -> node.allotment().onReadFailed(System.nanoTime()));
        }
    }

    private void swap(AllotmentAction.SwapRecord swap) {
        platformCalls.increment();
        LOGGER.info("changing {} at revision {}: {}", identity.key(), swap.expectedRevision(), swap.reason());
        long sent = System.nanoTime();
        platform.compareAndSwap(identity.key(), AllotmentRecordCodec.encode(swap.record()), swap.expectedRevision())
                .whenComplete(
                        (revision, failure) -> dutyThread.accept(() -> onSwapAnswered(swap, revision, failure, sent)));
    }

    private void onSwapAnswered(
            AllotmentAction.SwapRecord swap, @Nullable Long revision, @Nullable Throwable failure, long sent) {
        if (revision != null) {
            LOGGER.info("changed {} to revision {}: {}", identity.key(), revision, swap.reason());
            event(() -> node.allotment().onSwapped(swap.record(), revision, sent, System.nanoTime()));
        } else {
            LOGGER.info("did not change {}, reading it again: {}", identity.key(), describe(failure));
            event(() -> node.allotment().onSwapFailed(System.nanoTime()));
        }
    }

    private void readVirtualMachines() {
        platformCalls.increment();
        platform.virtualMachines()
                .whenComplete((machines, failure) -> dutyThread.accept(() -> {
                    if (failure == null) {
                        List<String> listed = machines.stream()
                                .filter(machine -> machine.kind().equals("entry")
                                        && machine.failureDomain().equals(identity.failureDomain()))
                                .map(VirtualMachine::name)
                                .toList();
                        event(() -> node.allotment().onVirtualMachines(listed, System.nanoTime()));
                    } else {
                        LOGGER.info("no list of virtual machines from the platform: {}", failure.toString());
                    }
                }));
    }

    private void contact(String peer) {
        long sent = System.nanoTime();
        query(peer, identity.entryVm(), identity.incarnation(), answer -> {
            if (answer.getSilent()) {
                LOGGER.info("{} does not let this entry VM go on accruing", peer);
            }
            node.allotment().onContactAnswered(!answer.getSilent(), sent);
        });
    }

    private void queryWitness(AllotmentAction.QueryWitness query) {
        query(query.peer(), query.holder(), query.incarnation(), answer -> {
            boolean silent = answer.getSilent() && answer.getSilentMillis() >= timings.reclaimNanos() / NANOS_PER_MILLI;
            LOGGER.info(
                    "{} witnesses {} ms of silence of {} incarnation {}",
                    query.peer(),
                    answer.getSilentMillis(),
                    query.holder(),
                    query.incarnation());
            node.allotment().onWitnessAnswered(query.peer(), query.holder(), query.incarnation(), silent);
        });
    }

    private void query(String peer, String holder, long incarnation, Consumer<AllotmentReclaimAnswer> onAnswer) {
        String address = addresses.apply(peer).orElse(null);
        if (address == null) {
            LOGGER.info("no address of entry VM {}; cannot ask it about {}", peer, holder);
            return;
        }
        PeerEnvelope body = PeerEnvelope.newBuilder()
                .setAllotmentReclaimQuery(AllotmentReclaimQuery.newBuilder()
                        .setHolderEntryVm(holder)
                        .setHolderIncarnation(incarnation))
                .build();
        messenger.request(address, body, PEER_TIMEOUT).whenComplete((reply, failure) -> {
            if (failure == null && reply.getSenderEntryVm().equals(peer)) {
                dutyThread.accept(() -> event(() -> onAnswer.accept(reply.getAllotmentReclaimAnswer())));
            }
        });
    }

    private void event(Runnable event) {
        node.onAllotmentEvent(event, System.nanoTime());
    }

    private static String describe(@Nullable Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause == null ? "no answer" : String.valueOf(cause.getMessage());
    }
}
