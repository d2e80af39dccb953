package org.banyanhook.gateway.session;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.util.Objects.requireNonNull;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.banyanhook.gateway.GatewayFixture;
import org.banyanhook.gateway.ScriptedMember;
import org.banyanhook.gateway.ScriptedMember.Link;
import org.banyanhook.gateway.ScriptedMember.Run;
import org.banyanhook.gateway.home.HomeFixture;
import org.banyanhook.gateway.message.ClientAnswer;
import org.banyanhook.gateway.message.SessionError;
import org.banyanhook.gateway.message.SessionStatement;
import org.banyanhook.gateway.message.TransactionState;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/**
 * Sessions share a few connections whose answers are delayed, lost and refused, and which close, go silent and time out
 * in every order. Checks what the member ran against what the callers asked for and were told.
 */
final class SharedConnectionModelTest {

    private static final int SEEDS = 300;
    private static final int STEPS = 400;
    private static final int SESSIONS = 8;

    @Test
    void everyStatementRunsInItsOwnTransactionOrInNone() {
        play(seed -> {
            GatewayFixture gateway = new GatewayFixture();
            return new Model(seed, gateway, gateway.list("primary", true), null);
        });
    }

    /** The same through a home, whose link delays and loses messages. */
    @Test
    void everyStatementThatAHomeRunsIsInItsOwnTransactionOrInNone() {
        play(seed -> {
            HomeFixture fleet = new HomeFixture();
            // The statements that use a direct connection instead must not run in addition.
            return new Model(seed, fleet.caller(), fleet.listSharedPrimary(), fleet);
        });
    }

    private static void play(LongFunction<Model> models) {
        int committed = 0;
        int failed = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            Model model = models.apply(seed);
            model.play();
            model.check();
            committed += model.committedAttempts();
            failed += model.promised.size();
        }
        assertThat(committed).isGreaterThan(SEEDS * 10);
        assertThat(failed).isGreaterThan(SEEDS * 10);
    }

    /** One attempt of a caller: a transaction, or a write outside of one. */
    private record Attempt(String id, boolean transaction) {}

    private static final class Caller {
        private EmbeddedChannel session;
        private Attempt attempt = new Attempt("", false);
        private int statements;
        private int unanswered;
        private boolean commitSent;
        private TransactionState state = TransactionState.IDLE;

        private Caller(EmbeddedChannel session) {
            this.session = session;
        }
    }

    private static final class Model {
        private final long seed;
        private final Random random;
        private final GatewayFixture gateway;
        private final @Nullable HomeFixture fleet;
        private final ScriptedMember member;
        private final List<Caller> callers = new ArrayList<>();
        private final Map<String, Attempt> attempts = new HashMap<>();
        private final Set<String> promised = new HashSet<>();
        private final Set<String> succeeded = new HashSet<>();
        private int nextAttempt;

        private Model(long seed, GatewayFixture gateway, ScriptedMember member, @Nullable HomeFixture fleet) {
            this.seed = seed;
            this.random = new Random(seed);
            this.gateway = gateway;
            this.member = member;
            this.fleet = fleet;
            for (int number = 0; number < SESSIONS; number++) {
                callers.add(new Caller(gateway.openSession()));
            }
        }

        private void play() {
            // Each statement through a home takes two messages more.
            int steps = fleet == null ? STEPS : 2 * STEPS;
            for (int step = 0; step < steps; step++) {
                Caller caller = callers.get(random.nextInt(SESSIONS));
                receive(caller);
                switch (random.nextInt(20)) {
                    case 0, 1, 2, 3, 4, 5 -> sendNext(caller);
                    case 6, 7, 8, 9, 10 -> randomLink(link -> link.run());
                    case 11, 12, 13, 14, 15 -> randomLink(link -> link.answer());
                    case 16 -> randomLink(link -> link.refuse(randomError()));
                    case 17 -> advanceMillis(random.nextInt(400));
                    case 18 -> disturb(caller);
                    default -> member.answerAll();
                }
                gateway.groups().tick();
                deliver();
            }
            advanceMillis(5_000);
            callers.forEach(this::receive);
        }

        private void advanceMillis(long millis) {
            if (fleet == null) {
                gateway.advanceMillis(millis);
            } else {
                fleet.advanceMillis(millis);
            }
        }

        /** Delivers some of the messages between the daemons, and sometimes loses all of them for a while. */
        private void deliver() {
            if (fleet == null) {
                return;
            }
            fleet.tick();
            int fate = random.nextInt(200);
            if (fate == 0) {
                fleet.cut(true);
            } else if (fate < 10) {
                fleet.cut(false);
            } else if (fate < 120) {
                fleet.deliverAll();
            } else if (fate < 180) {
                fleet.deliver();
            }
        }

        private void disturb(Caller caller) {
            switch (random.nextInt(4)) {
                case 0 -> randomLink(Link::silence);
                case 1 -> randomLink(Link::close);
                case 2 -> {
                    caller.session.close();
                    reopen(caller);
                }
                default -> advanceMillis(GatewayFixture.STATEMENT_TIMEOUT_MILLIS);
            }
        }

        private SessionError randomError() {
            return random.nextBoolean() ? SessionError.OVERLOADED : SessionError.STATEMENT_FAILED;
        }

        private void randomLink(Consumer<Link> action) {
            List<Link> links = member.links();
            if (!links.isEmpty()) {
                action.accept(links.get(random.nextInt(links.size())));
            }
        }

        private void reopen(Caller caller) {
            caller.session = gateway.openSession();
            caller.unanswered = 0;
            caller.statements = 0;
            caller.state = TransactionState.IDLE;
        }

        private void sendNext(Caller caller) {
            if (caller.unanswered > 0) {
                return;
            }
            if (caller.state == TransactionState.FAILED) {
                send(caller, new SessionStatement.Rollback());
            } else if (caller.state == TransactionState.OPEN && caller.statements >= 2 + random.nextInt(3)) {
                boolean commit = random.nextInt(4) > 0;
                caller.commitSent = commit;
                send(caller, commit ? new SessionStatement.Commit() : new SessionStatement.Rollback());
            } else if (caller.state == TransactionState.OPEN) {
                send(caller, new SessionStatement.Write(caller.attempt.id()));
            } else {
                begin(caller);
            }
        }

        private void begin(Caller caller) {
            boolean transaction = random.nextInt(4) > 0;
            caller.attempt = new Attempt("a" + nextAttempt++, transaction);
            caller.statements = 0;
            caller.commitSent = !transaction;
            attempts.put(caller.attempt.id(), caller.attempt);
            send(
                    caller,
                    transaction ? new SessionStatement.Begin(false) : new SessionStatement.Write(caller.attempt.id()));
        }

        private void send(Caller caller, SessionStatement statement) {
            caller.unanswered++;
            caller.statements++;
            GatewayFixture.send(caller.session, caller.attempt.id(), statement);
        }

        private void receive(Caller caller) {
            for (Object answer = caller.session.readOutbound();
                    answer != null;
                    answer = caller.session.readOutbound()) {
                caller.unanswered--;
                assertWithMessage("seed %s: answers without a request", seed)
                        .that(caller.unanswered)
                        .isAtLeast(0);
                if (answer instanceof ClientAnswer.Completed completed) {
                    caller.state = completed.state();
                    if (completed.signature() != null && completed.state() == TransactionState.IDLE) {
                        succeeded.add(caller.attempt.id());
                    }
                } else if (answer instanceof ClientAnswer.Failed failed) {
                    caller.state = failed.state();
                    if (failed.error().guaranteesNoEffect()) {
                        promised.add(caller.attempt.id());
                    }
                }
            }
        }

        private int committedAttempts() {
            return member.committed().size();
        }

        private void check() {
            Map<String, Set<Link>> links = new HashMap<>();
            Map<String, Set<Integer>> transactions = new HashMap<>();
            Map<Integer, Set<String>> attemptsByTransaction = new HashMap<>();
            for (Run run : member.runs()) {
                Attempt attempt = requireNonNull(attempts.get(run.requestId()));
                assertWithMessage("seed %s: %s runs in transaction %s", seed, run.requestId(), run.transaction())
                        .that(run.transaction() > 0)
                        .isEqualTo(attempt.transaction());
                links.computeIfAbsent(attempt.id(), id -> new HashSet<>()).add(run.link());
                transactions
                        .computeIfAbsent(attempt.id(), id -> new HashSet<>())
                        .add(run.transaction());
                if (run.transaction() > 0) {
                    attemptsByTransaction
                            .computeIfAbsent(run.transaction(), number -> new HashSet<>())
                            .add(attempt.id());
                }
            }
            attemptsByTransaction.forEach(
                    (number, ids) -> assertWithMessage("seed %s: attempts in transaction %s", seed, number)
                            .that(ids)
                            .hasSize(1));
            checkCommits();
            assertWithMessage("seed %s: misuse of a lease", seed)
                    .that(gateway.logged())
                    .doesNotContain("lease has ended");
            gateway.close();
        }

        /** A promise that nothing was kept, and a success, have to be true; nothing is kept twice. */
        private void checkCommits() {
            Map<String, Integer> writes = new HashMap<>();
            Map<String, Set<Integer>> committedIn = new HashMap<>();
            for (Run run : member.committed()) {
                writes.merge(run.requestId(), 1, Integer::sum);
                committedIn
                        .computeIfAbsent(run.requestId(), id -> new HashSet<>())
                        .add(run.transaction());
                assertWithMessage("seed %s: kept although promised otherwise", seed)
                        .that(promised)
                        .doesNotContain(run.requestId());
            }
            committedIn.forEach((id, in) -> assertWithMessage("seed %s: transactions that kept %s", seed, id)
                    .that(in)
                    .hasSize(1));
            for (String id : succeeded) {
                assertWithMessage("seed %s: %s succeeded", seed, id)
                        .that(writes)
                        .containsKey(id);
                if (!requireNonNull(attempts.get(id)).transaction()) {
                    assertWithMessage("seed %s: writes of %s", seed, id)
                            .that(writes.get(id))
                            .isEqualTo(1);
                }
            }
        }
    }
}
