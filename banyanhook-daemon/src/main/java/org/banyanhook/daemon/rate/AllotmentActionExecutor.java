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
import org.banyanhook.core.rate.FleetRateLimiter;
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
 * Executes the actions of the allotment: sends requests to the platform and to peers, and passes the responses to the
 * rate limiter on the thread of the task loop. Used on that thread only.
 */
final class AllotmentActionExecutor {

    private static final Logger LOGGER = LogManager.getLogger(AllotmentActionExecutor.class);
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration PEER_REQUEST_TIMEOUT = Duration.ofSeconds(1);
    private static final long WATCH_RETRY_DELAY_NANOS = Duration.ofSeconds(5).toNanos();
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final FleetRateLimiter rateLimiter;
    private final Identity identity;
    private final PlatformClient platform;
    private final PeerMessenger messenger;
    private final Function<String, Optional<String>> peerAddresses;
    private final Consumer<Runnable> loopExecutor;
    private final Counter platformCalls;
    private final RateTimings timings;
    private boolean watchOpen;
    private long nextWatchNanos = System.nanoTime();

    /** Identifies this process as the holder of an allotment. */
    record Identity(String entryVm, String failureDomain, long incarnation) {
        String recordKey() {
            return "allotment/" + failureDomain;
        }
    }

    /** Holds the clients for sending requests and the executor that processes the responses. */
    record Dependencies(
            PlatformClient platform,
            PeerMessenger messenger,
            Function<String, Optional<String>> peerAddresses,
            Consumer<Runnable> loopExecutor,
            Counter platformCalls) {}

    AllotmentActionExecutor(
            FleetRateLimiter rateLimiter, Identity identity, RateTimings timings, Dependencies dependencies) {
        this.rateLimiter = rateLimiter;
        this.identity = identity;
        this.timings = timings;
        this.platform = dependencies.platform();
        this.messenger = dependencies.messenger();
        this.peerAddresses = dependencies.peerAddresses();
        this.loopExecutor = dependencies.loopExecutor();
        this.platformCalls = dependencies.platformCalls();
    }

    void execute(List<AllotmentAction> actions) {
        for (AllotmentAction action : actions) {
            if (action instanceof AllotmentAction.ReadRecord) {
                readRecord();
            } else if (action instanceof AllotmentAction.SwapRecord swap) {
                swapRecord(swap);
            } else if (action instanceof AllotmentAction.ReadVirtualMachines) {
                readVirtualMachines();
            } else if (action instanceof AllotmentAction.RenewLeaseAtPeer contact) {
                renewLease(contact.peer());
            } else if (action instanceof AllotmentAction.QueryReclaim query) {
                queryReclaim(query);
            }
        }
    }

    /** Opens a watch on the record if none is open and the record has been read. */
    void openWatchIfNeeded() {
        long revision = rateLimiter.allotment().revision();
        if (watchOpen || revision < 0 || System.nanoTime() - nextWatchNanos < 0) {
            return;
        }
        watchOpen = true;
        platformCalls.increment();
        long sentNanos = System.nanoTime();
        platform.watch(identity.recordKey(), revision, WATCH_TIMEOUT)
                .whenComplete((value, failure) -> loopExecutor.accept(() -> {
                    watchOpen = false;
                    if (failure != null) {
                        nextWatchNanos = System.nanoTime() + WATCH_RETRY_DELAY_NANOS;
                    } else if (value.isPresent()) {
                        onRecordValue(value, sentNanos);
                    }
                }));
    }

    private void readRecord() {
        platformCalls.increment();
        long sentNanos = System.nanoTime();
        platform.read(identity.recordKey())
                .whenComplete((value, failure) -> loopExecutor.accept(() -> {
                    if (failure == null) {
                        onRecordValue(value, sentNanos);
                    } else {
                        LOGGER.info("could not read {}: {}", identity.recordKey(), failure.toString());
                        applyEvent(() -> rateLimiter.allotment().onReadFailed(System.nanoTime()));
                    }
                }));
    }

    private void onRecordValue(Optional<StoredValue> value, long sentNanos) {
        try {
            AllotmentRecord record =
                    value.isPresent() ? AllotmentRecordCodec.decode(value.get().value()) : AllotmentRecord.EMPTY;
            long revision = value.map(StoredValue::revision).orElse(0L);
            applyEvent(() -> rateLimiter.allotment().onRecordRead(record, revision, sentNanos, System.nanoTime()));
        } catch (PlatformException exception) {
            LOGGER.error("{}", exception.getMessage());
            applyEvent(() -> rateLimiter.allotment().onReadFailed(System.nanoTime()));
        }
    }

    private void swapRecord(AllotmentAction.SwapRecord swap) {
        platformCalls.increment();
        LOGGER.info("updating {} at revision {}: {}", identity.recordKey(), swap.expectedRevision(), swap.reason());
        long sentNanos = System.nanoTime();
        platform.compareAndSwap(
                        identity.recordKey(), AllotmentRecordCodec.encode(swap.record()), swap.expectedRevision())
                .whenComplete((revision, failure) ->
                        loopExecutor.accept(() -> onSwapCompleted(swap, revision, failure, sentNanos)));
    }

    private void onSwapCompleted(
            AllotmentAction.SwapRecord swap, @Nullable Long revision, @Nullable Throwable failure, long sentNanos) {
        if (revision != null) {
            LOGGER.info("updated {} to revision {}: {}", identity.recordKey(), revision, swap.reason());
            applyEvent(() -> rateLimiter.allotment().onSwapped(swap.record(), revision, sentNanos, System.nanoTime()));
        } else {
            LOGGER.info("could not update {}; reading it again: {}", identity.recordKey(), describeFailure(failure));
            applyEvent(() -> rateLimiter.allotment().onSwapFailed(System.nanoTime()));
        }
    }

    private void readVirtualMachines() {
        platformCalls.increment();
        platform.virtualMachines()
                .whenComplete((machines, failure) -> loopExecutor.accept(() -> {
                    if (failure == null) {
                        List<String> listedEntryVms = machines.stream()
                                .filter(machine -> machine.kind().equals("entry")
                                        && machine.failureDomain().equals(identity.failureDomain()))
                                .map(VirtualMachine::name)
                                .toList();
                        applyEvent(
                                () -> rateLimiter.allotment().onVirtualMachinesRead(listedEntryVms, System.nanoTime()));
                    } else {
                        LOGGER.info(
                                "could not read the list of virtual machines from the platform: {}",
                                failure.toString());
                    }
                }));
    }

    /** Requests the renewal of this process's lease: sends the peer a reclaim query about this process itself. */
    private void renewLease(String peer) {
        long sentNanos = System.nanoTime();
        sendReclaimQuery(peer, identity.entryVm(), identity.incarnation(), answer -> {
            if (answer.getSilent()) {
                LOGGER.info("{} refused to renew the allotment lease of this entry VM", peer);
            }
            rateLimiter.allotment().onRenewalAnswered(!answer.getSilent(), sentNanos);
        });
    }

    /** Checks with a peer whether the reclaim delay has passed since it last renewed the lease of a holder. */
    private void queryReclaim(AllotmentAction.QueryReclaim query) {
        sendReclaimQuery(query.peer(), query.holder(), query.incarnation(), answer -> {
            boolean confirmed =
                    answer.getSilent() && answer.getSilentMillis() >= timings.reclaimDelayNanos() / NANOS_PER_MILLI;
            LOGGER.info(
                    "{} reports {} ms without a lease renewal of {} incarnation {}",
                    query.peer(),
                    answer.getSilentMillis(),
                    query.holder(),
                    query.incarnation());
            rateLimiter
                    .allotment()
                    .onReclaimQueryAnswered(query.peer(), query.holder(), query.incarnation(), confirmed);
        });
    }

    private void sendReclaimQuery(
            String peer, String holder, long incarnation, Consumer<AllotmentReclaimAnswer> onAnswer) {
        String address = peerAddresses.apply(peer).orElse(null);
        if (address == null) {
            LOGGER.info("no known address of entry VM {}; cannot send a reclaim query about {}", peer, holder);
            return;
        }
        PeerEnvelope body = PeerEnvelope.newBuilder()
                .setAllotmentReclaimQuery(AllotmentReclaimQuery.newBuilder()
                        .setHolderEntryVm(holder)
                        .setHolderIncarnation(incarnation))
                .build();
        messenger.request(address, body, PEER_REQUEST_TIMEOUT).whenComplete((reply, failure) -> {
            if (failure == null && reply.getSenderEntryVm().equals(peer)) {
                loopExecutor.accept(() -> applyEvent(() -> onAnswer.accept(reply.getAllotmentReclaimAnswer())));
            }
        });
    }

    private void applyEvent(Runnable event) {
        rateLimiter.onAllotmentEvent(event, System.nanoTime());
    }

    private static String describeFailure(@Nullable Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause == null ? "no response" : String.valueOf(cause.getMessage());
    }
}
