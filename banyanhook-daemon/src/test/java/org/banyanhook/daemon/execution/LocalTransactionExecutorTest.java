package org.banyanhook.daemon.execution;

import static com.google.common.truth.Truth.assertThat;
import static java.util.Objects.requireNonNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.error.Execution;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.core.transaction.TransactionId;
import org.banyanhook.core.transaction.TransactionStep;
import org.banyanhook.daemon.backend.ScriptedBackendServer.Reply;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LocalTransactionExecutorTest {

    private ExecutionFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = new ExecutionFixture();
    }

    @AfterEach
    void stop() throws Exception {
        fixture.close();
    }

    private TransactionCommand.Builder command(TransactionStep step) {
        return TransactionCommand.builder(step)
                .requestId("r-1")
                .account("acme")
                .service("orders-db")
                .database("db")
                .route(fixture.configuration
                        .service("orders-db")
                        .orElseThrow()
                        .route("append")
                        .orElseThrow())
                .deadlineNanos(System.nanoTime() + Duration.ofMillis(700).toNanos());
    }

    private TransactionOutcome run(TransactionCommand.Builder command) throws Exception {
        return fixture.transactions.execute(command.build()).get(10, TimeUnit.SECONDS);
    }

    private RefusalException refusal(TransactionCommand.Builder command) {
        ExecutionException exception = assertThrows(ExecutionException.class, () -> run(command));
        assertThat(exception).hasCauseThat().isInstanceOf(RefusalException.class);
        return (RefusalException) requireNonNull(exception.getCause());
    }

    private TransactionId begin() throws Exception {
        return run(command(TransactionStep.BEGIN)).transaction();
    }

    /**
     * Guards against refusals with a wrong execution, for instance a lost commit that is reported as not run. The fault
     * meets one step. The last column is the refusal of a later commit, empty if that commit succeeds.
     */
    @ParameterizedTest
    @CsvSource({
        // step, fault, kind, execution, kind of a later commit
        "STATEMENT, cut, TRANSACTION_LOST, NOT_RUN, TRANSACTION_LOST",
        "STATEMENT, half, TRANSACTION_LOST, NOT_RUN, TRANSACTION_LOST",
        "STATEMENT, silence, TRANSACTION_LOST, NOT_RUN, TRANSACTION_LOST",
        "STATEMENT, foreign, TRANSACTION_LOST, NOT_RUN, TRANSACTION_LOST",
        "STATEMENT, no-transaction, TRANSACTION_LOST, NOT_RUN, TRANSACTION_LOST",
        "STATEMENT, statement-rejected, STATEMENT_REJECTED, NOT_RUN, ",
        "COMMIT, cut, OUTCOME_UNKNOWN, UNKNOWN, OUTCOME_UNKNOWN",
        "COMMIT, half, OUTCOME_UNKNOWN, UNKNOWN, OUTCOME_UNKNOWN",
        "COMMIT, silence, OUTCOME_UNKNOWN, UNKNOWN, OUTCOME_UNKNOWN",
        "COMMIT, foreign, OUTCOME_UNKNOWN, UNKNOWN, OUTCOME_UNKNOWN",
        "COMMIT, idempotency-key-reused, IDEMPOTENCY_KEY_REUSED, NOT_RUN, TRANSACTION_LOST",
        "COMMIT, wrong-term, TRANSACTION_LOST, NOT_RUN, TRANSACTION_LOST",
        "ROLLBACK, cut, TRANSACTION_LOST, NOT_RUN, TRANSACTION_LOST",
    })
    void reportsKindAndExecutionOfEveryFault(
            TransactionStep step,
            String fault,
            RefusalKind kind,
            Execution execution,
            @Nullable RefusalKind laterCommit)
            throws Exception {
        TransactionId id = begin();
        fixture.primary.script(request -> switch (fault) {
            case "cut" -> Reply.closeWithoutResponse();
            case "half" -> Reply.truncated(Reply.ok(request.body()));
            case "silence" -> Reply.noResponse();
            case "foreign" -> Reply.json(200, "{\"answerId\":\"x\"}");
            case "statement-rejected" -> Reply.refusal(request.body(), 422, fault, 1);
            default -> Reply.refusal(request.body(), 409, fault, 2);
        });
        RefusalException refusal = refusal(command(step).transaction(id).statement("add k 1"));
        assertThat(refusal.kind()).isEqualTo(kind);
        assertThat(refusal.execution()).isEqualTo(execution);
        fixture.primary.script(request -> Reply.ok(request.body()));
        if (laterCommit == null) {
            run(command(TransactionStep.COMMIT).transaction(id));
        } else {
            assertThat(refusal(command(TransactionStep.COMMIT).transaction(id)).kind())
                    .isEqualTo(laterCommit);
        }
    }

    @Test
    void unconfirmedCommitHasAnUnknownOutcome() throws Exception {
        TransactionId id = begin();
        fixture.confirmer = (database, position, timeout) ->
                CompletableFuture.failedFuture(RefusalException.notRun(RefusalKind.PRIMARY_CHANGED, "superseded"));
        RefusalException refusal = refusal(command(TransactionStep.COMMIT).transaction(id));
        assertThat(refusal.kind()).isEqualTo(RefusalKind.OUTCOME_UNKNOWN);
    }

    @Test
    void refusesAnotherAccountAndConcurrentSteps() throws Exception {
        TransactionId id = begin();
        assertThat(refusal(command(TransactionStep.COMMIT).transaction(id).account("other"))
                        .kind())
                .isEqualTo(RefusalKind.TRANSACTION_UNKNOWN);
        fixture.primary.script(request -> Reply.noResponse());
        CompletableFuture<TransactionOutcome> first = fixture.transactions.execute(command(TransactionStep.STATEMENT)
                .transaction(id)
                .statement("get k")
                .build());
        assertThat(refusal(command(TransactionStep.COMMIT).transaction(id)).kind())
                .isEqualTo(RefusalKind.TRANSACTION_BUSY);
        assertThrows(ExecutionException.class, () -> first.get(5, TimeUnit.SECONDS));
    }

    @Test
    void reservesHalfOfTheConnectionsForSingleStatements() throws Exception {
        begin();
        begin();
        assertThat(refusal(command(TransactionStep.BEGIN)).kind()).isEqualTo(RefusalKind.QUEUE_FULL);
        assertThat(fixture.transactions.openCount()).isEqualTo(2);
    }

    /**
     * Guards against a transaction's connection being used for other statements. Transactions and single statements run
     * in random order, and the server records the connection of each statement.
     */
    @Test
    void sendsNoOtherStatementOnATransactionConnection() throws Exception {
        Map<Integer, String> lastStatementByConnection = new ConcurrentHashMap<>();
        List<String> violations = Collections.synchronizedList(new ArrayList<>());
        fixture.primary.script(request -> {
            String statement = request.body().path("statement").asText();
            String lastStatement = lastStatementByConnection.getOrDefault(request.connection(), "");
            if (request.isFor("/transactions")) {
                lastStatementByConnection.put(request.connection(), "begun");
            } else if (request.isFor("/transactions/statements")) {
                if (!lastStatement.equals("begun") && !lastStatement.equals(statement)) {
                    violations.add(lastStatement + " and " + statement);
                }
                lastStatementByConnection.put(request.connection(), statement);
            } else if (request.isFor("/transactions/commit")) {
                lastStatementByConnection.remove(request.connection());
            } else if (!lastStatement.isEmpty()) {
                violations.add(lastStatement + " and a single statement");
            }
            return Reply.ok(request.body());
        });
        for (long seed = 1; seed <= 10; seed++) {
            Random random = new Random(seed);
            Map<TransactionId, String> openTransactions = new HashMap<>();
            for (int step = 0; step < 60; step++) {
                int choice = random.nextInt(4);
                if (choice == 0 && openTransactions.size() < 2) {
                    openTransactions.put(begin(), "transaction-" + seed + "-" + step);
                } else if (choice == 1 || openTransactions.isEmpty()) {
                    fixture.executor.execute(fixture.command("read").build()).get(5, TimeUnit.SECONDS);
                } else {
                    TransactionId id =
                            List.copyOf(openTransactions.keySet()).get(random.nextInt(openTransactions.size()));
                    TransactionStep nextStep = choice == 2 ? TransactionStep.STATEMENT : TransactionStep.COMMIT;
                    run(command(nextStep).transaction(id).statement(openTransactions.getOrDefault(id, "")));
                    if (nextStep == TransactionStep.COMMIT) {
                        openTransactions.remove(id);
                    }
                }
            }
            for (TransactionId id : openTransactions.keySet()) {
                run(command(TransactionStep.COMMIT).transaction(id));
            }
            assertThat(violations).isEmpty();
        }
    }
}
