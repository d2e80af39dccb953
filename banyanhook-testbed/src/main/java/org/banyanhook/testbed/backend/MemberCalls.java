package org.banyanhook.testbed.backend;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.testbed.http.ClientConnection;
import org.banyanhook.testbed.http.ErrorBody;
import org.banyanhook.testbed.http.JsonReply;
import org.banyanhook.testbed.http.JsonRequest;
import org.banyanhook.testbed.http.MalformedRequestException;
import org.jspecify.annotations.Nullable;

/** Answers the calls of one member. Safe for use by several threads. */
final class MemberCalls {

    private static final long NO_WAIT_MILLIS = 0;

    private final String member;
    private final String database;
    private final MemberState state;
    private final BackendFaults faults;
    private final WorkConnections connections;
    private final SlotQueue slots;
    private final Replicator replicator;
    private volatile CompletableFuture<Void> nextChange = new CompletableFuture<>();

    MemberCalls(BackendServerStandIn.Builder builder, MemberState state, BackendFaults faults, Replicator replicator) {
        this.member = builder.member();
        this.database = builder.database();
        this.state = state;
        this.faults = faults;
        this.replicator = replicator;
        this.connections = new WorkConnections(builder.connectionLimit());
        this.slots = new SlotQueue(builder.slots());
    }

    /** One call that changes or reads the member at once. */
    @FunctionalInterface
    private interface Action {
        Object run() throws MemberException;
    }

    CompletableFuture<JsonReply> answer(JsonRequest request) throws MalformedRequestException {
        return switch (request.route()) {
            case "GET /status" -> CompletableFuture.completedFuture(JsonReply.ok(status()));
            case "GET /log" -> log(request);
            case "POST /fence", "POST /promote", "POST /follow" -> CompletableFuture.completedFuture(change(request));
            default -> work(request);
        };
    }

    Messages.Status status() {
        MemberState.Standing standing = state.standing();
        return new Messages.Status(
                member,
                database,
                standing.term(),
                standing.role().label(),
                standing.last().term(),
                standing.last().position(),
                standing.primaryMember(),
                connections.count());
    }

    private JsonReply change(JsonRequest request) throws MalformedRequestException {
        Messages.TermChange change = request.body(Messages.TermChange.class);
        JsonReply reply = reply(() -> {
            switch (request.rawPath()) {
                case "/fence" -> state.fence(change.term());
                case "/promote" -> state.promote(change.term(), System.currentTimeMillis());
                default -> follow(change);
            }
            return status();
        });
        signalChange();
        return reply;
    }

    private void follow(Messages.TermChange change) throws MemberException {
        String primaryMember = change.primaryMember() == null ? "" : change.primaryMember();
        state.follow(change.term(), primaryMember);
        replicator.replicateFrom(change.primaryAddress() == null ? "" : change.primaryAddress());
    }

    private CompletableFuture<JsonReply> log(JsonRequest request) throws MalformedRequestException {
        LogPosition after = new LogPosition(request.queryNumber("afterTerm"), request.queryNumber("afterPosition"));
        long term = request.queryNumber("term");
        int limit = (int) request.queryNumber("limit");
        long waitMillis = request.queryNumber("waitMillis", NO_WAIT_MILLIS);
        CompletableFuture<Void> change = nextChange;
        JsonReply atOnce = reply(() -> entries(term, after, limit));
        boolean nothingNew = atOnce.body() instanceof Messages.Entries entries
                && entries.matches()
                && entries.entries().isEmpty();
        if (!nothingNew || waitMillis == 0) {
            return CompletableFuture.completedFuture(atOnce);
        }
        CompletableFuture<Void> wait = new CompletableFuture<>();
        change.thenRun(() -> wait.completeAsync(() -> null));
        return wait.completeOnTimeout(null, waitMillis, TimeUnit.MILLISECONDS)
                .thenApply(done -> reply(() -> entries(term, after, limit)));
    }

    private Messages.Entries entries(long term, LogPosition after, int limit) throws MemberException {
        MemberState.LogSlice slice = state.slice(term, after, limit);
        return new Messages.Entries(term, slice.matches(), slice.dropAfter(), slice.entries());
    }

    private CompletableFuture<JsonReply> work(JsonRequest request) throws MalformedRequestException {
        Optional<Action> action = action(request);
        if (action.isEmpty()) {
            return CompletableFuture.completedFuture(JsonReply.of(404, ErrorBody.of("unknown-call")));
        }
        if (!connections.admit(request.connection())) {
            long term = state.standing().term();
            Messages.Refusal refusal =
                    new Messages.Refusal(answerId(request), "too-many-connections", term, null, null);
            return CompletableFuture.completedFuture(new JsonReply(503, refusal, true));
        }
        long ageMillis = TimeUnit.NANOSECONDS.toMillis(
                System.nanoTime() - request.connection().openedNanos());
        long remainingMillis = faults.connectionCostMillis() - ageMillis;
        CompletableFuture<JsonReply> reply = new CompletableFuture<>();
        CompletableFuture<Void> opened = new CompletableFuture<>();
        opened.completeOnTimeout(null, Math.max(0, remainingMillis), TimeUnit.MILLISECONDS);
        if (remainingMillis <= 0) {
            opened.complete(null);
        }
        @Nullable String answerId = answerId(request);
        opened.thenCompose(done -> runWork(request, action.get()))
                .thenApply(answer -> withAnswerId(answer, answerId))
                .thenAccept(reply::complete);
        return reply;
    }

    private static @Nullable String answerId(JsonRequest request) throws MalformedRequestException {
        return request.route().startsWith("POST ")
                ? request.body(Messages.Work.class).answerId()
                : null;
    }

    private static JsonReply withAnswerId(JsonReply reply, @Nullable String answerId) {
        return reply.body() instanceof Messages.Refusal refusal
                ? new JsonReply(reply.status(), refusal.withAnswerId(answerId), reply.closesConnection())
                : reply;
    }

    private CompletableFuture<JsonReply> runWork(JsonRequest request, Action action) {
        boolean takesSlot = request.rawPath().endsWith("statements");
        if (!takesSlot) {
            return CompletableFuture.completedFuture(runAndSignal(action));
        }
        return slots.run(faults.statementMicros(), () -> runAndSignal(action));
    }

    private JsonReply runAndSignal(Action action) {
        JsonReply reply = reply(action);
        signalChange();
        return reply;
    }

    private Optional<Action> action(JsonRequest request) throws MalformedRequestException {
        ClientConnection connection = request.connection();
        if (request.route().equals("GET /outcomes")) {
            MemberState.Idempotency idempotency =
                    new MemberState.Idempotency(request.queryText("account"), request.queryText("key"));
            long term = request.queryNumber("term");
            return Optional.of(() -> recordedOutcome(term, idempotency));
        }
        Messages.Work work = request.body(Messages.Work.class);
        return switch (request.route()) {
            case "POST /statements" -> Optional.of(() -> statement(work));
            case "POST /transactions" -> Optional.of(() -> begin(connection, work));
            case "POST /transactions/statements" -> Optional.of(() -> statementInTransaction(connection, work));
            case "POST /transactions/commit" -> Optional.of(() -> commit(connection, work));
            case "POST /transactions/rollback" -> Optional.of(() -> rollback(connection, work));
            default -> Optional.empty();
        };
    }

    private Messages.Answer statement(Messages.Work work) throws MemberException {
        long now = System.currentTimeMillis();
        return answer(work, state.run(term(work), text(work), work.write(), idempotency(work), now));
    }

    private Messages.Answer begin(ClientConnection connection, Messages.Work work) throws MemberException {
        if (connections.transaction(connection).isPresent()) {
            throw new MemberException(MemberException.Kind.TRANSACTION_OPEN, "end the open transaction first");
        }
        connections.begin(connection, state.begin(term(work)));
        return plainAnswer(work);
    }

    private Messages.Answer statementInTransaction(ClientConnection connection, Messages.Work work)
            throws MemberException {
        return answer(work, state.runIn(open(connection), text(work), work.write()));
    }

    private Messages.Answer commit(ClientConnection connection, Messages.Work work) throws MemberException {
        Transaction transaction = open(connection);
        connections.end(connection);
        return answer(work, state.commit(transaction, term(work), idempotency(work), System.currentTimeMillis()));
    }

    private Messages.Answer rollback(ClientConnection connection, Messages.Work work) throws MemberException {
        open(connection);
        connections.end(connection);
        return plainAnswer(work);
    }

    private Messages.RecordedOutcome recordedOutcome(long term, MemberState.Idempotency idempotency)
            throws MemberException {
        Optional<MemberState.Outcome> outcome = state.recordedOutcome(term, idempotency);
        LogPosition last = state.standing().last();
        return new Messages.RecordedOutcome(
                outcome.isPresent(),
                last.position(),
                last.term(),
                outcome.map(MemberState.Outcome::result).orElse(null));
    }

    private Transaction open(ClientConnection connection) throws MemberException {
        Optional<Transaction> transaction = connections.transaction(connection);
        if (transaction.isEmpty()) {
            throw new MemberException(MemberException.Kind.NO_TRANSACTION, "begin a transaction on this connection");
        }
        return transaction.get();
    }

    private Messages.Answer plainAnswer(Messages.Work work) {
        MemberState.Standing standing = state.standing();
        LogPosition last = standing.last();
        return new Messages.Answer(work.answerId(), standing.term(), last.position(), last.term(), null, false);
    }

    private static Messages.Answer answer(Messages.Work work, MemberState.Outcome outcome) {
        return new Messages.Answer(
                work.answerId(),
                outcome.term(),
                outcome.last().position(),
                outcome.last().term(),
                outcome.result(),
                outcome.replayed());
    }

    private static long term(Messages.Work work) throws MemberException {
        if (work.term() == null) {
            throw new MemberException(MemberException.Kind.STATEMENT_REJECTED, "term is missing");
        }
        return work.term();
    }

    private static String text(Messages.Work work) throws MemberException {
        if (work.statement() == null) {
            throw new MemberException(MemberException.Kind.STATEMENT_REJECTED, "statement is missing");
        }
        return work.statement();
    }

    private static MemberState.@Nullable Idempotency idempotency(Messages.Work work) {
        Messages.IdempotencyFields fields = work.idempotency();
        return fields == null ? null : new MemberState.Idempotency(fields.account(), fields.key());
    }

    private JsonReply reply(Action action) {
        try {
            return JsonReply.ok(action.run());
        } catch (MemberException exception) {
            MemberException.Kind kind = exception.kind();
            Messages.Status status = kind == MemberException.Kind.STALE_TERM ? status() : null;
            long term = state.standing().term();
            return JsonReply.of(
                    kind.httpStatus(), new Messages.Refusal(null, kind.label(), term, exception.getMessage(), status));
        }
    }

    private void signalChange() {
        CompletableFuture<Void> change;
        synchronized (this) {
            change = nextChange;
            nextChange = new CompletableFuture<>();
        }
        change.complete(null);
    }
}
