package org.banyanhook.daemon.forwarding;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.core.error.Execution;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.daemon.execution.Refusals;
import org.banyanhook.daemon.execution.StatementCommand;
import org.banyanhook.daemon.execution.StatementOutcome;
import org.banyanhook.daemon.membership.EntryVm;
import org.banyanhook.daemon.peer.PeerException;
import org.banyanhook.protocol.generated.PeerEnvelope;

/** Executes one statement at a home, with retries. Its callbacks run one after another, never concurrently. */
final class StatementForwarding {

    private static final Logger LOGGER = LogManager.getLogger(StatementForwarding.class);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    /** Kinds of refusal by a home after which another home may be able to serve the statement. */
    private static final Set<RefusalKind> RETRYABLE_AT_ANOTHER_HOME = ImmutableSet.of(
            RefusalKind.ENTRY_VM_DRAINING,
            RefusalKind.ENTRY_VM_NOT_READY,
            RefusalKind.FAILURE_DOMAIN_TAKEN_OUT,
            RefusalKind.PEER_UNAVAILABLE,
            RefusalKind.SERVICE_UNKNOWN,
            RefusalKind.ROUTE_UNKNOWN,
            RefusalKind.DATABASE_UNKNOWN);

    private final ForwardingExecutor executor;
    private final StatementCommand command;
    private final List<EntryVm> homes;
    private final CompletableFuture<StatementOutcome> result = new CompletableFuture<>();
    private volatile boolean maybeSent;

    StatementForwarding(ForwardingExecutor executor, StatementCommand command, List<EntryVm> homes) {
        this.executor = executor;
        this.command = command;
        this.homes = homes;
    }

    CompletableFuture<StatementOutcome> start() {
        attempt(0);
        return result;
    }

    private void attempt(int index) {
        long remainingNanos = command.deadlineNanos() - System.nanoTime();
        if (remainingNanos <= 0) {
            refuse(RefusalKind.DEADLINE_EXCEEDED, "The deadline passed before a home answered.");
            return;
        }
        EntryVm home = homes.get(index);
        boolean isLocal = executor.isSelf(home);
        LOGGER.info(
                "request {} account {} database {} goes to home {}: {}",
                command.requestId(),
                command.account(),
                command.database(),
                home.name(),
                isLocal ? "this entry VM is a home" : "home number " + (index + 1) + " in order of proximity");
        CompletableFuture<StatementOutcome> answer =
                isLocal ? executor.local().execute(command) : forward(home, index, remainingNanos);
        answer.whenComplete((outcome, failure) -> {
            if (failure == null) {
                result.complete(outcome);
            } else {
                onFailure(index, Refusals.unwrap(failure));
            }
        });
    }

    private CompletableFuture<StatementOutcome> forward(EntryVm home, int index, long remainingNanos) {
        executor.countForwarded(command.database());
        boolean isLastAttempt = command.route().kind().writes() || index + 1 == homes.size();
        Duration timeout = Duration.ofNanos(isLastAttempt ? remainingNanos : remainingNanos / 2);
        PeerEnvelope envelope =
                ForwardedStatementCodec.encodeStatement(command, timeout, executor.configurationVersion());
        return executor.messenger()
                .request(home.peerAddress(), envelope, timeout)
                .thenApply(reply -> ForwardedStatementCodec.decodeOutcome(reply.getStatementResult()));
    }

    private void onFailure(int index, Throwable failure) {
        boolean hasAnotherHome = index + 1 < homes.size();
        if (failure instanceof PeerException peerFailure) {
            onPeerFailure(index, peerFailure, hasAnotherHome);
            return;
        }
        RefusalException refusal = Refusals.from(failure);
        if (hasAnotherHome
                && refusal.execution() == Execution.NOT_RUN
                && RETRYABLE_AT_ANOTHER_HOME.contains(refusal.kind())) {
            attempt(index + 1);
        } else if (maybeSent && refusal.execution() == Execution.NOT_RUN) {
            refuse(refusal.kind(), refusal.detail());
        } else {
            result.completeExceptionally(refusal);
        }
    }

    private void onPeerFailure(int index, PeerException failure, boolean hasAnotherHome) {
        LOGGER.warn(
                "request {} got no answer from home {}: {}",
                command.requestId(),
                homes.get(index).name(),
                failure.getMessage());
        maybeSent |= failure.maybeSent();
        boolean mayRepeat = !failure.maybeSent() || !command.route().kind().writes();
        if (mayRepeat && hasAnotherHome) {
            attempt(index + 1);
        } else {
            refuse(
                    RefusalKind.PEER_UNAVAILABLE,
                    "Home " + homes.get(index).name() + " of the database could not be reached or did not answer.");
        }
    }

    private void refuse(RefusalKind kind, String detail) {
        boolean isWriteOutcomeUnknown = maybeSent && command.route().kind().writes();
        result.completeExceptionally(
                RefusalException.builder(isWriteOutcomeUnknown ? RefusalKind.OUTCOME_UNKNOWN : kind)
                        .execution(maybeSent ? Execution.UNKNOWN : Execution.NOT_RUN)
                        .detail(detail)
                        .retryAfter(RETRY_AFTER)
                        .build());
    }
}
