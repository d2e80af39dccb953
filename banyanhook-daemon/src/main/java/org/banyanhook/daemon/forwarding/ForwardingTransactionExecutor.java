package org.banyanhook.daemon.forwarding;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.core.error.Execution;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.core.transaction.TransactionStep;
import org.banyanhook.daemon.execution.Refusals;
import org.banyanhook.daemon.execution.TransactionCommand;
import org.banyanhook.daemon.execution.TransactionExecutor;
import org.banyanhook.daemon.execution.TransactionOutcome;
import org.banyanhook.daemon.membership.EntryVm;
import org.banyanhook.daemon.peer.PeerException;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.protocol.generated.PeerEnvelope;

/**
 * Executes each step of a transaction at its home, independent of the entry VM that the caller is connected to.
 *
 * <p>A step that may have been sent to its home is not sent again. If the home is no longer live, a begin or statement
 * is reported as not run, since the transaction can no longer be committed. The outcome of a commit is then unknown,
 * since an earlier commit may have been sent through another entry VM. Safe for use by several threads.
 */
public final class ForwardingTransactionExecutor implements TransactionExecutor {

    private static final Logger LOGGER = LogManager.getLogger(ForwardingTransactionExecutor.class);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    /** A running entry VM becomes known within two probe intervals; one that is not known by then is not running. */
    private static final Duration HOME_DISCOVERY_TIMEOUT = Duration.ofSeconds(3);

    private static final Duration HOME_DISCOVERY_INTERVAL = Duration.ofMillis(50);

    private final HomeDirectory homes;
    private final TransactionExecutor local;
    private final PeerMessenger messenger;

    /**
     * Creates an executor.
     *
     * @param homes the directory of homes
     * @param local executes the transactions whose home is this entry VM
     * @param messenger sends requests to other daemons
     */
    public ForwardingTransactionExecutor(HomeDirectory homes, TransactionExecutor local, PeerMessenger messenger) {
        this.homes = requireNonNull(homes, "homes");
        this.local = requireNonNull(local, "local");
        this.messenger = requireNonNull(messenger, "messenger");
    }

    @Override
    public CompletableFuture<TransactionOutcome> execute(TransactionCommand command) {
        if (command.step() != TransactionStep.BEGIN) {
            return executeAtHome(command, System.nanoTime() + HOME_DISCOVERY_TIMEOUT.toNanos());
        }
        List<EntryVm> candidates = homes.homes(command.database());
        return candidates.isEmpty()
                ? CompletableFuture.failedFuture(noAvailableHome(command))
                : execute(command, candidates, 0);
    }

    /** Executes a step at the home of its transaction, which a daemon that has just started may not know yet. */
    private CompletableFuture<TransactionOutcome> executeAtHome(TransactionCommand command, long discoveryEndNanos) {
        String home = command.transaction().homeEntryVm();
        List<EntryVm> candidates = homes.liveEntryVm(home);
        if (!candidates.isEmpty()) {
            return execute(command, candidates, 0);
        }
        long now = System.nanoTime();
        if (homes.hasRecord(home) || now - discoveryEndNanos >= 0) {
            return CompletableFuture.failedFuture(homeNotLive(command));
        }
        if (now + HOME_DISCOVERY_INTERVAL.toNanos() - command.deadlineNanos() >= 0) {
            return CompletableFuture.failedFuture(homeNotKnownYet(home));
        }
        Executor delayed = CompletableFuture.delayedExecutor(
                HOME_DISCOVERY_INTERVAL.toMillis(), TimeUnit.MILLISECONDS, Runnable::run);
        return CompletableFuture.supplyAsync(() -> executeAtHome(command, discoveryEndNanos), delayed)
                .thenCompose(outcome -> outcome);
    }

    private CompletableFuture<TransactionOutcome> execute(
            TransactionCommand command, List<EntryVm> candidates, int index) {
        EntryVm home = candidates.get(index);
        LOGGER.info(
                "request {} account {} database {} step {} goes to home {}: {}",
                command.requestId(),
                command.account(),
                command.database(),
                command.step(),
                home.name(),
                command.step() == TransactionStep.BEGIN ? "home chosen by proximity" : "home of the transaction");
        if (home.name().equals(homes.selfName())) {
            return local.execute(command);
        }
        Duration remaining = Duration.ofNanos(Math.max(1, command.deadlineNanos() - System.nanoTime()));
        PeerEnvelope envelope = ForwardedTransactionCodec.encodeStep(command, remaining);
        return messenger
                .request(home.peerAddress(), envelope, remaining)
                .thenCompose(reply -> ForwardedTransactionCodec.decodeOutcome(reply.getStatementResult(), command))
                .exceptionallyCompose(failure -> onFailure(command, candidates, index, Refusals.unwrap(failure)));
    }

    private CompletableFuture<TransactionOutcome> onFailure(
            TransactionCommand command, List<EntryVm> candidates, int index, Throwable failure) {
        if (!(failure instanceof PeerException peerFailure)) {
            return CompletableFuture.failedFuture(failure);
        }
        LOGGER.warn(
                "request {} got no answer from home {}: {}",
                command.requestId(),
                candidates.get(index).name(),
                failure.getMessage());
        boolean isBegin = command.step() == TransactionStep.BEGIN;
        if (isBegin && !peerFailure.maybeSent() && index + 1 < candidates.size()) {
            return execute(command, candidates, index + 1);
        }
        return CompletableFuture.failedFuture(refusal(command, candidates.get(index), peerFailure));
    }

    private RefusalException refusal(TransactionCommand command, EntryVm home, PeerException failure) {
        boolean isBegin = command.step() == TransactionStep.BEGIN;
        if (!isBegin && homes.liveEntryVm(home.name()).isEmpty()) {
            return homeNotLive(command);
        }
        boolean isOutcomeUnknown = !isBegin && failure.maybeSent();
        return RefusalException.builder(isOutcomeUnknown ? RefusalKind.OUTCOME_UNKNOWN : RefusalKind.PEER_UNAVAILABLE)
                .execution(isOutcomeUnknown ? Execution.UNKNOWN : Execution.NOT_RUN)
                .detail("Home " + home.name() + " could not be reached or did not answer.")
                .retryAfter(RETRY_AFTER)
                .build();
    }

    private static RefusalException noAvailableHome(TransactionCommand command) {
        return RefusalException.notRun(
                RefusalKind.FAILURE_DOMAIN_TAKEN_OUT,
                "No live entry VM accepts new requests for database " + command.database() + ".");
    }

    private static RefusalException homeNotKnownYet(String home) {
        return RefusalException.builder(RefusalKind.PEER_UNAVAILABLE)
                .execution(Execution.NOT_RUN)
                .detail("Home " + home + " of the transaction is not known to this entry VM yet.")
                .retryAfter(RETRY_AFTER)
                .build();
    }

    private static RefusalException homeNotLive(TransactionCommand command) {
        boolean isCommit = command.step() == TransactionStep.COMMIT;
        return RefusalException.builder(isCommit ? RefusalKind.OUTCOME_UNKNOWN : RefusalKind.TRANSACTION_LOST)
                .execution(isCommit ? Execution.UNKNOWN : Execution.NOT_RUN)
                .detail("The home entry VM of the transaction is not live.")
                .build();
    }
}
