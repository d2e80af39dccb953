package org.banyanhook.daemon.execution;

import static com.google.common.truth.Truth.assertThat;
import static java.util.Objects.requireNonNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.error.Execution;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.daemon.backend.ScriptedBackendServer.ReceivedRequest;
import org.banyanhook.daemon.backend.ScriptedBackendServer.Reply;
import org.banyanhook.daemon.primary.PrimaryView;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LocalStatementExecutorTest {

    private ExecutionFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = new ExecutionFixture();
    }

    @AfterEach
    void stop() throws Exception {
        fixture.close();
    }

    private StatementOutcome run(StatementCommand.Builder command) throws Exception {
        return fixture.executor.execute(command.build()).get(10, TimeUnit.SECONDS);
    }

    private RefusalException refusal(StatementCommand.Builder command) {
        ExecutionException exception = assertThrows(ExecutionException.class, () -> run(command));
        assertThat(exception).hasCauseThat().isInstanceOf(RefusalException.class);
        return (RefusalException) requireNonNull(exception.getCause());
    }

    private static Reply faultyReply(String fault, ReceivedRequest request) {
        Reply completeReply = Reply.ok(request.body());
        return switch (fault) {
            case "cut" -> Reply.closeWithoutResponse();
            case "half" -> Reply.truncated(completeReply);
            case "silence" -> Reply.noResponse();
            case "foreign" -> Reply.json(200, "{\"answerId\":\"x\",\"position\":1}");
            case "rejected" -> Reply.refusal(request.body(), 422, "statement-rejected", 1);
            case "term" -> Reply.refusal(request.body(), 409, "wrong-term", 1);
            case "room" -> Reply.refusal(request.body(), 503, "too-many-connections", 1);
            case "fault" -> Reply.json(500, "{}");
            default -> completeReply;
        };
    }

    /**
     * Guards against retries of a statement that may have run, and against refusals with a wrong execution. Every
     * request meets the same fault. The last column is the maximum number of requests that reach the member.
     */
    @ParameterizedTest
    @CsvSource({
        // route, idempotency key, fault, execution, kind, sent at most
        "append, k, cut, UNKNOWN, OUTCOME_UNKNOWN, 1",
        "append, k, half, UNKNOWN, OUTCOME_UNKNOWN, 1",
        "append, k, silence, UNKNOWN, OUTCOME_UNKNOWN, 1",
        "append, k, foreign, UNKNOWN, OUTCOME_UNKNOWN, 1",
        "append, k, fault, UNKNOWN, OUTCOME_UNKNOWN, 1",
        "append, k, rejected, NOT_RUN, STATEMENT_REJECTED, 1",
        "append, k, term, NOT_RUN, PRIMARY_CHANGED, 100",
        "append, k, room, NOT_RUN, BACKEND_UNAVAILABLE, 100",
        "put, , cut, UNKNOWN, OUTCOME_UNKNOWN, 1",
        "put, k, cut, UNKNOWN, OUTCOME_UNKNOWN, 11",
        "put, k, half, UNKNOWN, OUTCOME_UNKNOWN, 11",
        "read, , rejected, NOT_RUN, STATEMENT_REJECTED, 1",
        "read, , cut, UNKNOWN, OUTCOME_UNKNOWN, 11",
    })
    void reportsKindAndExecutionOfEveryFault(
            String route, String idempotencyKey, String fault, Execution execution, RefusalKind kind, int sentAtMost) {
        fixture.primary.script(request -> faultyReply(fault, request));
        RefusalException refusal = refusal(fixture.command(route).idempotencyKey(idempotencyKey));
        assertThat(refusal.execution()).isEqualTo(execution);
        assertThat(refusal.kind()).isEqualTo(kind);
        assertThat(fixture.primary.receivedRequests().size()).isAtMost(sentAtMost);
    }

    @Test
    void refusesAsNotRunWhenNoMemberCanBeReached() throws Exception {
        fixture.primary.close();
        RefusalException refusal = refusal(fixture.command("append").idempotencyKey("k"));
        assertThat(refusal.execution()).isEqualTo(Execution.NOT_RUN);
        assertThat(refusal.kind()).isEqualTo(RefusalKind.BACKEND_UNAVAILABLE);
    }

    @Test
    void refusesAsNotRunWhileNoPrimaryIsKnown() {
        fixture.directory.primaryView = Optional.empty();
        RefusalException refusal = refusal(fixture.command("append").idempotencyKey("k"));
        assertThat(refusal.execution()).isEqualTo(Execution.NOT_RUN);
        assertThat(refusal.kind()).isEqualTo(RefusalKind.PRIMARY_UNAVAILABLE);
    }

    @Test
    void retriesAtTheNewPrimaryAfterAWrongTermRefusal() throws Exception {
        fixture.primary.script(request -> Reply.refusal(request.body(), 409, "wrong-term", 2));
        fixture.replica.script(request -> Reply.ok(request.body(), 2, 7, "7"));
        fixture.directory.onLaterTerm =
                () -> fixture.directory.primaryView = Optional.of(new PrimaryView("db", 2, "db-2"));
        StatementOutcome outcome = run(fixture.command("append").idempotencyKey("k"));
        assertThat(outcome.servedBy()).isEqualTo("db-2");
        assertThat(outcome.position()).isEqualTo(new LogPosition(2, 7));
        assertThat(fixture.directory.reports).contains("db-1 true 2");
    }

    @Test
    void unconfirmedWriteHasAnUnknownOutcome() {
        fixture.confirmer = (database, position, timeout) ->
                CompletableFuture.failedFuture(RefusalException.notRun(RefusalKind.PRIMARY_CHANGED, "superseded"));
        RefusalException refusal = refusal(fixture.command("append").idempotencyKey("k"));
        assertThat(refusal.kind()).isEqualTo(RefusalKind.OUTCOME_UNKNOWN);
        assertThat(refusal.execution()).isEqualTo(Execution.UNKNOWN);
    }

    @Test
    void completesOnlyAfterThePositionIsConfirmed() {
        CompletableFuture<Void> confirmation = new CompletableFuture<>();
        CompletableFuture<LogPosition> requestedPosition = new CompletableFuture<>();
        fixture.confirmer = (database, position, timeout) -> {
            requestedPosition.complete(position);
            return confirmation;
        };
        CompletableFuture<StatementOutcome> result =
                fixture.executor.execute(fixture.command("put").build());
        assertThat(requestedPosition.orTimeout(5, TimeUnit.SECONDS).join()).isEqualTo(new LogPosition(1, 1));
        assertThat(result.isDone()).isFalse();
        confirmation.complete(null);
        assertThat(result.orTimeout(5, TimeUnit.SECONDS).join().resultJson()).isEqualTo("{\"n\":1}");
    }

    @ParameterizedTest
    @CsvSource({
        // fault of the replica's answer, age bound, position of the replica, served by
        "none, 900, 5, db-2",
        "none, 1001, 5, db-1",
        "none, 900, 4, db-1",
        "cut, 900, 5, db-1",
        "silence, 900, 5, db-1",
        "foreign, 900, 5, db-1",
        "term, 900, 5, db-1",
    })
    void usesAReplicaAnswerOnlyIfItCoversTheSessionWithinTheAgeLimit(
            String fault, long ageMillis, long position, String servedBy) throws Exception {
        fixture.directory.servingReplica = Optional.of("db-2");
        fixture.directory.ageMillis = ageMillis;
        fixture.replica.script(request ->
                fault.equals("none") ? Reply.ok(request.body(), 1, position, "1") : faultyReply(fault, request));
        fixture.primary.script(request -> {
            fixture.directory.servingReplica = Optional.empty();
            return Reply.ok(request.body(), 1, 9, "2");
        });
        if (fault.equals("term")) {
            fixture.directory.onLaterTerm = null;
            fixture.directory.servingReplica = Optional.of("db-2");
            fixture.replica.script(request -> {
                fixture.directory.servingReplica = Optional.empty();
                return faultyReply(fault, request);
            });
        }
        StatementOutcome outcome = run(fixture.command("aged").sessionPosition(new LogPosition(1, 5)));
        assertThat(outcome.servedBy()).isEqualTo(servedBy);
        assertThat(outcome.replica()).isEqualTo(servedBy.equals("db-2"));
    }

    @Test
    void refusesAPrimaryAnswerThatDoesNotCoverTheSession() {
        RefusalException refusal = refusal(fixture.command("read").sessionPosition(new LogPosition(3, 1)));
        assertThat(refusal.kind()).isEqualTo(RefusalKind.PRIMARY_CHANGED);
    }

    @Test
    void retriedReadUsesANewConnection() throws Exception {
        run(fixture.command("read"));
        fixture.primary.script(request -> request.connection() == 1 ? Reply.noResponse() : Reply.ok(request.body()));
        assertThat(run(fixture.command("read")).resultJson()).isEqualTo("{\"n\":1}");
        assertThat(fixture.primary.connectionCount()).isEqualTo(2);
    }
}
