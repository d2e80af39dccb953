package org.banyanhook.daemon.rate;

import static java.util.Objects.requireNonNull;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.core.rate.FleetRateLimiter;
import org.banyanhook.core.rate.LendingDecision;
import org.banyanhook.core.rate.PendingTokenRequests;
import org.banyanhook.core.rate.RateTimings;
import org.banyanhook.core.rate.TokenAction;
import org.banyanhook.core.rate.Tokens;
import org.banyanhook.daemon.configuration.ConfigurationSource;
import org.banyanhook.daemon.duty.TaskLoop;
import org.banyanhook.daemon.membership.EntryVm;
import org.banyanhook.daemon.membership.MembershipSource;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.daemon.platform.PlatformClient;
import org.banyanhook.protocol.generated.AllotmentReclaimAnswer;
import org.banyanhook.protocol.generated.AllotmentReclaimQuery;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.banyanhook.protocol.generated.TokenRequest;
import org.banyanhook.protocol.generated.TokenTransfer;
import org.jspecify.annotations.Nullable;

/**
 * Enforces the fleet-wide rates of client accounts with the allotment of this entry VM and tokens borrowed from peers.
 *
 * <p>The state is confined to the thread of one task loop. {@link #acquire} is thread-safe and never blocks.
 */
public final class AllotmentController implements RateLimiter, AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(AllotmentController.class);
    private static final Duration TICK_INTERVAL = Duration.ofMillis(20);
    private static final int TOKEN_TICKS_PER_ALLOTMENT_TICK = 5;
    private static final int RING_BUFFER_SIZE = 16_384;
    private static final long RESUBMISSION_DELAY_MILLIS = 20;
    private static final long RELEASE_TIMEOUT_SECONDS = 3;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final AllotmentActionExecutor.Identity identity;
    private final FleetRateLimiter rateLimiter;
    private final AllotmentActionExecutor actionExecutor;
    private final PeerMessenger messenger;
    private final MembershipSource membership;
    private final ConfigurationSource configuration;
    private final Duration tokenRequestTimeout;
    private final SplittableRandom random;
    private final Map<Long, CompletableFuture<Void>> waitingRequests = new HashMap<>();
    private final CompletableFuture<Void> released = new CompletableFuture<>();
    private final Counter acceptedRequests;
    private final Counter refusedRequests;
    private final Counter tokenRequests;
    private final Counter lentTokens;
    private EntryVmIndex entryVmIndex = new EntryVmIndex(List.of());
    private long lastRequestId;
    private long ticks;
    private @Nullable TaskLoop taskLoop;

    private AllotmentController(Builder builder) {
        this.identity =
                new AllotmentActionExecutor.Identity(builder.entryVm, builder.failureDomain, builder.incarnation);
        this.messenger = requireNonNull(builder.messenger, "messenger");
        this.membership = requireNonNull(builder.membership, "membership");
        this.configuration = requireNonNull(builder.configuration, "configuration");
        this.tokenRequestTimeout = Duration.ofNanos(builder.timings.borrowedTokenLifetimeNanos());
        this.random = new SplittableRandom(builder.entryVm.hashCode() ^ builder.incarnation);
        this.acceptedRequests = builder.meterRegistry.counter("banyanhook.rate.accepted");
        this.refusedRequests = builder.meterRegistry.counter("banyanhook.rate.refused");
        this.tokenRequests = builder.meterRegistry.counter("banyanhook.rate.token.requests");
        this.lentTokens = builder.meterRegistry.counter("banyanhook.rate.lent.tokens");
        this.rateLimiter = FleetRateLimiter.builder(builder.entryVm, builder.failureDomain, builder.incarnation)
                .timings(builder.timings)
                .tokenRequestsPerSecond(builder.tokenRequestsPerSecond)
                .build(System.nanoTime());
        AllotmentActionExecutor.Dependencies dependencies = new AllotmentActionExecutor.Dependencies(
                requireNonNull(builder.platform, "platform"),
                messenger,
                name -> entryVmIndex.peerAddress(name),
                this::submitReliably,
                builder.meterRegistry.counter("banyanhook.rate.platform.calls"));
        this.actionExecutor = new AllotmentActionExecutor(rateLimiter, identity, builder.timings, dependencies);
    }

    /**
     * Creates a builder.
     *
     * @param entryVm the name of this entry VM
     * @param failureDomain its failure domain
     * @param incarnation the start time of this process in milliseconds
     * @return a new builder
     */
    public static Builder builder(String entryVm, String failureDomain, long incarnation) {
        return new Builder(entryVm, failureDomain, incarnation);
    }

    /** Registers the message handlers and starts the task loop. Call once, before the messenger starts listening. */
    public void start() {
        TaskLoop started = TaskLoop.builder("rate")
                .ringSize(RING_BUFFER_SIZE)
                .tick(TICK_INTERVAL, this::onTick)
                .start();
        taskLoop = started;
        messenger.registerHandler(PeerEnvelope.BodyCase.TOKEN_REQUEST, message -> started.call(() -> lend(message)));
        messenger.registerHandler(
                PeerEnvelope.BodyCase.ALLOTMENT_RECLAIM_QUERY,
                message -> started.call(() -> answerReclaimQuery(message)));
    }

    @Override
    public CompletableFuture<Void> acquire(String clientAccount, Duration maximumWait) {
        requireNonNull(clientAccount, "clientAccount");
        CompletableFuture<Void> outcome = new CompletableFuture<>();
        TaskLoop started = taskLoop;
        boolean submitted = started != null && started.submit(() -> acquire(clientAccount, maximumWait, outcome));
        if (!submitted) {
            outcome.completeExceptionally(RefusalException.builder(RefusalKind.QUEUE_FULL)
                    .detail("the rate limiter has not started or its task queue is full")
                    .retryAfter(Duration.ofSeconds(1))
                    .build());
        }
        return outcome;
    }

    /**
     * Releases the allotment; no tokens accrue on this entry VM afterwards.
     *
     * @return completed once the platform's record shows the release, or after a time-out
     */
    public CompletableFuture<Void> releaseAllotment() {
        submitReliably(() -> {
            LOGGER.info("releasing the allotment of {}", identity.entryVm());
            rateLimiter.releaseAllotment(System.nanoTime());
        });
        return released.completeOnTimeout(null, RELEASE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        TaskLoop started = taskLoop;
        if (started != null) {
            started.close();
        }
    }

    private void acquire(String account, Duration maximumWait, CompletableFuture<Void> outcome) {
        long now = System.nanoTime();
        long requestId = ++lastRequestId;
        waitingRequests.put(requestId, outcome);
        execute(rateLimiter.acquire(account, requestId, now + maximumWait.toNanos(), now));
    }

    private void onTick() {
        long now = System.nanoTime();
        execute(rateLimiter.onTokenTick(now));
        if (++ticks % TOKEN_TICKS_PER_ALLOTMENT_TICK == 0) {
            updateEntryVmIndex();
            rateLimiter.configure(configuration.current(), now);
            actionExecutor.execute(rateLimiter.onAllotmentTick(random.nextLong(), now));
            actionExecutor.openWatchIfNeeded();
            if (rateLimiter.allotment().isReleased()) {
                released.complete(null);
            }
        }
    }

    private void updateEntryVmIndex() {
        List<EntryVm> snapshot = membership.liveEntryVms();
        if (!entryVmIndex.isBasedOn(snapshot)) {
            entryVmIndex = new EntryVmIndex(snapshot);
            rateLimiter.setRunningEntryVms(entryVmIndex.runningByDomain());
        }
    }

    private void execute(List<TokenAction> tokenActions) {
        for (TokenAction action : tokenActions) {
            if (action instanceof TokenAction.Accept accept) {
                acceptedRequests.increment();
                removeWaiting(accept.requestNumber()).complete(null);
            } else if (action instanceof TokenAction.Refuse refuse) {
                refuse(refuse);
            } else if (action instanceof TokenAction.RequestTokens tokenRequest) {
                requestTokens(tokenRequest.request());
            }
        }
    }

    private void refuse(TokenAction.Refuse refuse) {
        refusedRequests.increment();
        LOGGER.info("refused a request of client account {}: {}", refuse.clientAccount(), refuse.reason());
        removeWaiting(refuse.requestNumber())
                .completeExceptionally(RefusalException.builder(RefusalKind.RATE_EXCEEDED)
                        .detail("client account " + refuse.clientAccount() + ": " + refuse.reason())
                        .retryAfter(Duration.ofNanos(refuse.retryAfterNanos()))
                        .build());
    }

    private CompletableFuture<Void> removeWaiting(long requestId) {
        CompletableFuture<Void> outcome = waitingRequests.remove(requestId);
        return outcome == null ? new CompletableFuture<>() : outcome;
    }

    private void requestTokens(PendingTokenRequests.Request request) {
        tokenRequests.increment();
        String address = entryVmIndex.peerAddress(request.peer()).orElse(null);
        if (address == null) {
            submitReliably(() -> execute(rateLimiter.onTokenRequestFailed(request.sequence(), System.nanoTime())));
            return;
        }
        LOGGER.debug(
                "asking peer {} for {} tokens of client account {}",
                request.peer(),
                Tokens.toTokens(request.micros()),
                request.clientAccount());
        PeerEnvelope body = PeerEnvelope.newBuilder()
                .setTokenRequest(TokenRequest.newBuilder()
                        .setClientAccount(request.clientAccount())
                        .setRequestSequence(request.sequence())
                        .setTokens(Tokens.toTokens(request.micros()))
                        .setAllotmentEpoch(identity.incarnation()))
                .build();
        messenger
                .request(address, body, tokenRequestTimeout)
                .whenComplete(
                        (reply, failure) -> submitReliably(() -> onTokenRequestCompleted(request, reply, failure)));
    }

    private void onTokenRequestCompleted(
            PendingTokenRequests.Request request, @Nullable PeerEnvelope reply, @Nullable Throwable failure) {
        long now = System.nanoTime();
        TokenTransfer transfer = reply == null ? TokenTransfer.getDefaultInstance() : reply.getTokenTransfer();
        boolean matches = transfer.getAllotmentEpoch() == identity.incarnation()
                && transfer.getRequestSequence() == request.sequence();
        if (failure != null || !matches) {
            LOGGER.debug("token request to {} failed", request.peer(), failure);
            execute(rateLimiter.onTokenRequestFailed(request.sequence(), now));
            return;
        }
        long lentMicros = Tokens.receivedToMicros(transfer.getTokens());
        long lendableMicros = Tokens.receivedToMicros(transfer.getLendableTokens());
        execute(rateLimiter.onTransfer(request.sequence(), lentMicros, lendableMicros, now));
    }

    private PeerEnvelope lend(PeerEnvelope message) {
        TokenRequest request = message.getTokenRequest();
        LendingDecision decision = rateLimiter.lend(
                request.getClientAccount(),
                Tokens.receivedToMicros(request.getTokens()),
                message.getSenderEntryVm(),
                System.nanoTime());
        lentTokens.increment(Tokens.toTokens(decision.lentMicros()));
        LOGGER.debug(
                "lending {} tokens of client account {} to {}: {}",
                Tokens.toTokens(decision.lentMicros()),
                request.getClientAccount(),
                message.getSenderEntryVm(),
                decision.reason());
        return PeerEnvelope.newBuilder()
                .setTokenTransfer(TokenTransfer.newBuilder()
                        .setClientAccount(request.getClientAccount())
                        .setRequestSequence(request.getRequestSequence())
                        .setTokens(Tokens.toTokens(decision.lentMicros()))
                        .setLendableTokens(Tokens.toTokens(decision.lendableMicros()))
                        .setAllotmentEpoch(request.getAllotmentEpoch()))
                .build();
    }

    /**
     * Answers a reclaim query. A holder sends one about itself to renew its lease; a peer sends one about a holder
     * before it reclaims that holder's allotment.
     */
    private PeerEnvelope answerReclaimQuery(PeerEnvelope message) {
        AllotmentReclaimQuery query = message.getAllotmentReclaimQuery();
        long now = System.nanoTime();
        String holder = query.getHolderEntryVm();
        boolean renewed = message.getSenderEntryVm().equals(holder)
                && rateLimiter.allotment().answerRenewal(holder, query.getHolderIncarnation(), now);
        long sinceRenewalNanos = rateLimiter.allotment().answerReclaimQuery(holder, query.getHolderIncarnation(), now);
        return PeerEnvelope.newBuilder()
                .setAllotmentReclaimAnswer(AllotmentReclaimAnswer.newBuilder()
                        .setSilent(!renewed)
                        .setSilentMillis(Math.max(0, sinceRenewalNanos / NANOS_PER_MILLI)))
                .build();
    }

    /** Submits a task to the task loop; resubmits it after a delay while the queue is full. */
    private void submitReliably(Runnable task) {
        TaskLoop started = taskLoop;
        if (started != null && !started.submit(task)) {
            CompletableFuture.delayedExecutor(RESUBMISSION_DELAY_MILLIS, TimeUnit.MILLISECONDS)
                    .execute(() -> submitReliably(task));
        }
    }

    /** Builds an {@link AllotmentController}. Not thread-safe. */
    public static final class Builder {
        private static final double DEFAULT_TOKEN_REQUESTS_PER_SECOND = 50;

        private final String entryVm;
        private final String failureDomain;
        private final long incarnation;
        private @Nullable PeerMessenger messenger;
        private @Nullable PlatformClient platform;
        private @Nullable MembershipSource membership;
        private @Nullable ConfigurationSource configuration;
        private RateTimings timings = RateTimings.DEFAULT;
        private double tokenRequestsPerSecond = DEFAULT_TOKEN_REQUESTS_PER_SECOND;
        private MeterRegistry meterRegistry = new SimpleMeterRegistry();

        private Builder(String entryVm, String failureDomain, long incarnation) {
            this.entryVm = requireNonNull(entryVm, "entryVm");
            this.failureDomain = requireNonNull(failureDomain, "failureDomain");
            this.incarnation = incarnation;
        }

        /** Sets the messenger for requests between peers; required. */
        public Builder messenger(PeerMessenger value) {
            this.messenger = requireNonNull(value, "messenger");
            return this;
        }

        /** Sets the platform client; required. */
        public Builder platform(PlatformClient value) {
            this.platform = requireNonNull(value, "platform");
            return this;
        }

        /** Sets the source of the live entry VMs; required. */
        public Builder membership(MembershipSource value) {
            this.membership = requireNonNull(value, "membership");
            return this;
        }

        /** Sets the source of the configured rates; required. */
        public Builder configuration(ConfigurationSource value) {
            this.configuration = requireNonNull(value, "configuration");
            return this;
        }

        /** Sets the durations of leases and token transfers, which must be the same on all daemons. */
        public Builder timings(RateTimings value) {
            this.timings = requireNonNull(value, "timings");
            return this;
        }

        /** Sets the maximum number of token requests to peers per second. */
        public Builder tokenRequestsPerSecond(double value) {
            this.tokenRequestsPerSecond = value;
            return this;
        }

        /** Sets the registry of the metrics. */
        public Builder meterRegistry(MeterRegistry value) {
            this.meterRegistry = requireNonNull(value, "meterRegistry");
            return this;
        }

        /** Creates the controller without starting it. */
        public AllotmentController build() {
            return new AllotmentController(this);
        }
    }
}
