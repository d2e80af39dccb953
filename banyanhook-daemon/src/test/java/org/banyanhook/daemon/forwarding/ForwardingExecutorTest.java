package org.banyanhook.daemon.forwarding;

import static com.google.common.truth.Truth.assertThat;
import static java.util.Objects.requireNonNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.error.Execution;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.core.transaction.TransactionId;
import org.banyanhook.core.transaction.TransactionStep;
import org.banyanhook.daemon.backend.ScriptedBackendServer.Reply;
import org.banyanhook.daemon.execution.ExecutionFixture;
import org.banyanhook.daemon.execution.RequestGate;
import org.banyanhook.daemon.execution.StatementOutcome;
import org.banyanhook.daemon.execution.TransactionCommand;
import org.banyanhook.daemon.execution.TransactionOutcome;
import org.banyanhook.daemon.membership.EntryVm;
import org.banyanhook.daemon.membership.MembershipSource;
import org.banyanhook.daemon.peer.PeerException;
import org.banyanhook.daemon.peer.PeerMessageHandler;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ForwardingExecutorTest {

    private final InProcessMessenger messenger = new InProcessMessenger();
    private final RequestGate gate = new RequestGate();
    private ExecutionFixture fixture;
    private volatile Set<String> recordedEntryVms = Set.of("vm-0", "vm-1", "vm-2");
    private volatile List<EntryVm> liveEntryVms = List.of(
            new EntryVm("vm-1", "east", "peer-1", false),
            new EntryVm("vm-2", "west", "peer-2", false),
            new EntryVm("vm-0", "north", "peer-0", true));
    private ForwardingExecutor statements;
    private ForwardingTransactionExecutor transactions;

    @BeforeEach
    void start() throws Exception {
        fixture = new ExecutionFixture();
        MembershipSource membership = new MembershipSource() {
            @Override
            public List<EntryVm> liveEntryVms() {
                return liveEntryVms;
            }

            @Override
            public boolean hasRecord(String entryVm) {
                return recordedEntryVms.contains(entryVm);
            }
        };
        HomeDirectory homes = new HomeDirectory("vm-0", "north", membership, () -> fixture.configuration);
        statements = ForwardingExecutor.builder()
                .homes(homes)
                .local(command -> CompletableFuture.failedFuture(new IllegalStateException("no home")))
                .messenger(messenger)
                .configuration(() -> fixture.configuration)
                .meters(fixture.meters)
                .build();
        transactions = new ForwardingTransactionExecutor(
                homes, command -> CompletableFuture.failedFuture(new IllegalStateException("no home")), messenger);
        messenger.registerHandler(
                PeerEnvelope.BodyCase.FORWARDED_STATEMENT,
                new ForwardedStatementHandler(() -> fixture.configuration, fixture.executor, gate));
        messenger.registerHandler(
                PeerEnvelope.BodyCase.FORWARDED_TRANSACTION_STEP,
                new ForwardedTransactionHandler(() -> fixture.configuration, fixture.transactions, gate));
    }

    @AfterEach
    void stop() throws Exception {
        fixture.close();
    }

    private StatementOutcome run(String route) throws Exception {
        return statements
                .execute(fixture.command(route).idempotencyKey("k").build())
                .get(5, TimeUnit.SECONDS);
    }

    private TransactionOutcome run(TransactionStep step, @Nullable TransactionId id) throws Exception {
        TransactionCommand.Builder command = TransactionCommand.builder(step)
                .requestId("r-1")
                .account("acme")
                .service("orders-db")
                .database("db")
                .route(fixture.configuration
                        .service("orders-db")
                        .orElseThrow()
                        .route("put")
                        .orElseThrow())
                .statement("put k 1")
                .deadlineNanos(System.nanoTime() + Duration.ofSeconds(2).toNanos());
        if (id != null) {
            command.transaction(id);
        }
        return transactions.execute(command.build()).get(5, TimeUnit.SECONDS);
    }

    private static RefusalException refusal(ExecutionException exception) {
        assertThat(exception).hasCauseThat().isInstanceOf(RefusalException.class);
        return (RefusalException) requireNonNull(exception.getCause());
    }

    @Test
    void forwardsAStatementToAHomeAndReturnsItsAnswer() throws Exception {
        fixture.primary.script(request -> Reply.ok(request.body(), 1, 8, "\"late\""));
        StatementOutcome outcome = run("append");
        assertThat(outcome.resultJson()).isEqualTo("\"late\"");
        assertThat(outcome.position().position()).isEqualTo(8);
        assertThat(outcome.servedBy()).isEqualTo("db-1");
        assertThat(fixture.primary.receivedRequests().get(0)).contains("\"key\":\"k\"");
        assertThat(messenger.addresses).containsNoneOf("peer-0", "");
    }

    /** A daemon that has just started learns of a transaction's home after the first step arrives. */
    @Test
    void waitsForAHomeThatIsNotKnownYet() throws Exception {
        TransactionId begun = run(TransactionStep.BEGIN, null).transaction();
        List<EntryVm> all = liveEntryVms;
        liveEntryVms = List.of(new EntryVm("vm-0", "north", "peer-0", true));
        recordedEntryVms = Set.of("vm-0");
        CompletableFuture.delayedExecutor(300, TimeUnit.MILLISECONDS).execute(() -> liveEntryVms = all);
        assertThat(run(TransactionStep.STATEMENT, begun).transaction()).isEqualTo(begun);
    }

    @Test
    void refusesAStepAsNotRunIfItsHomeDoesNotBecomeKnownInTime() throws Exception {
        TransactionId begun = run(TransactionStep.BEGIN, null).transaction();
        liveEntryVms = List.of(new EntryVm("vm-0", "north", "peer-0", true));
        recordedEntryVms = Set.of("vm-0");
        RefusalException refusal =
                refusal(assertThrows(ExecutionException.class, () -> run(TransactionStep.STATEMENT, begun)));
        assertThat(refusal.kind()).isEqualTo(RefusalKind.PEER_UNAVAILABLE);
        assertThat(refusal.execution()).isEqualTo(Execution.NOT_RUN);
        assertThat(refusal.retryAfter()).isPresent();
    }

    /**
     * Guards against a write that is forwarded again after it may have been sent. The faults are applied to the
     * requests in order; later requests succeed.
     */
    @ParameterizedTest
    @CsvSource({
        // route, faults, executed, kind, execution
        "append, unsent, 1, , ",
        "append, draining, 1, , ",
        "append, unsent unsent, 0, PEER_UNAVAILABLE, NOT_RUN",
        "append, lost, 0, OUTCOME_UNKNOWN, UNKNOWN",
        "append, answer-lost, 1, OUTCOME_UNKNOWN, UNKNOWN",
        "put, answer-lost, 1, OUTCOME_UNKNOWN, UNKNOWN",
        "read, lost, 1, , ",
        "read, answer-lost, 2, , ",
        "read, lost unsent, 0, PEER_UNAVAILABLE, UNKNOWN",
        "read, lost draining, 0, ENTRY_VM_DRAINING, UNKNOWN",
    })
    void retriesAtAnotherHomeOnlyIfTheStatementMayBeRepeated(
            String route, String faults, int executed, @Nullable RefusalKind kind, @Nullable Execution execution)
            throws Exception {
        messenger.faults.addAll(List.of(faults.split(" ")));
        if (kind == null) {
            run(route);
        } else {
            RefusalException refusal = refusal(assertThrows(ExecutionException.class, () -> run(route)));
            assertThat(refusal.kind()).isEqualTo(kind);
            assertThat(refusal.execution()).isEqualTo(execution);
        }
        assertThat(fixture.primary.receivedRequests()).hasSize(executed);
    }

    @Test
    void drainingHomeRefusesStatementsButFinishesTransactions() throws Exception {
        TransactionId id = run(TransactionStep.BEGIN, null).transaction();
        gate.close();
        assertThat(refusal(assertThrows(ExecutionException.class, () -> run("append")))
                        .kind())
                .isEqualTo(RefusalKind.ENTRY_VM_DRAINING);
        run(TransactionStep.STATEMENT, id);
        assertThat(run(TransactionStep.COMMIT, id).outcome().servedBy()).isEqualTo("db-1");
    }

    /**
     * Guards against refusals with a wrong execution when the home of a transaction fails, for instance a commit that
     * is reported as not run although it may have been sent.
     */
    @ParameterizedTest
    @CsvSource({
        // step, fault, home still alive, kind, execution
        "STATEMENT, unsent, true, PEER_UNAVAILABLE, NOT_RUN",
        "STATEMENT, lost, true, OUTCOME_UNKNOWN, UNKNOWN",
        "STATEMENT, lost, false, TRANSACTION_LOST, NOT_RUN",
        "ROLLBACK, lost, false, TRANSACTION_LOST, NOT_RUN",
        "COMMIT, unsent, true, PEER_UNAVAILABLE, NOT_RUN",
        "COMMIT, lost, true, OUTCOME_UNKNOWN, UNKNOWN",
        "COMMIT, answer-lost, true, OUTCOME_UNKNOWN, UNKNOWN",
        "COMMIT, lost, false, OUTCOME_UNKNOWN, UNKNOWN",
    })
    void reportsKindAndExecutionWhenTheHomeDoesNotAnswer(
            TransactionStep step, String fault, boolean alive, RefusalKind kind, Execution execution) throws Exception {
        TransactionId id = run(TransactionStep.BEGIN, null).transaction();
        assertThat(id.homeEntryVm()).isEqualTo("vm-1");
        messenger.faults.add(fault);
        if (!alive) {
            messenger.onFault = () -> liveEntryVms = List.of();
        }
        RefusalException refusal = refusal(assertThrows(ExecutionException.class, () -> run(step, id)));
        assertThat(refusal.kind()).isEqualTo(kind);
        assertThat(refusal.execution()).isEqualTo(execution);
    }

    /** Delivers messages to the handlers of one home, and applies the faults that a test has queued. */
    private static final class InProcessMessenger implements PeerMessenger {
        private final Map<PeerEnvelope.BodyCase, PeerMessageHandler> handlers =
                new EnumMap<>(PeerEnvelope.BodyCase.class);
        private final Deque<String> faults = new ArrayDeque<>();
        private final List<String> addresses = new ArrayList<>();
        private Runnable onFault = () -> {};

        @Override
        public CompletableFuture<PeerEnvelope> request(String peerAddress, PeerEnvelope body, Duration timeout) {
            addresses.add(peerAddress);
            String fault = faults.isEmpty() ? "" : faults.removeFirst();
            if (!fault.isEmpty()) {
                onFault.run();
            }
            return switch (fault) {
                case "unsent" -> CompletableFuture.failedFuture(new PeerException("unsent", false));
                case "lost" -> CompletableFuture.failedFuture(new PeerException("lost", true));
                case "draining" ->
                    CompletableFuture.failedFuture(RefusalException.notRun(RefusalKind.ENTRY_VM_DRAINING, "draining"));
                case "answer-lost" ->
                    deliver(body).thenCompose(reply -> CompletableFuture.failedFuture(new PeerException("lost", true)));
                default -> deliver(body);
            };
        }

        private CompletableFuture<PeerEnvelope> deliver(PeerEnvelope body) {
            return requireNonNull(handlers.get(body.getBodyCase())).handle(body);
        }

        @Override
        public void send(String peerAddress, PeerEnvelope body) {
            deliver(body);
        }

        @Override
        public void registerHandler(PeerEnvelope.BodyCase kind, PeerMessageHandler handler) {
            handlers.put(kind, handler);
        }
    }
}
