package org.banyanhook.testbed.backend;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.testbed.backend.MemberState.Idempotency;
import org.banyanhook.testbed.backend.MemberState.LogSlice;
import org.banyanhook.testbed.backend.MemberState.Outcome;
import org.banyanhook.testbed.backend.MemberState.Role;
import org.banyanhook.testbed.backend.MemberState.Standing;
import org.junit.jupiter.api.Test;

final class MemberStateTest {

    @Test
    void nothingConfirmedByAMajorityIsEverLost() {
        int confirmed = 0;
        for (long seed = 1; seed <= 400; seed++) {
            Group group = new Group(seed, seed % 4 == 0 ? 5 : 3);
            for (int step = 0; step < 600; step++) {
                group.step();
            }
            group.members.forEach(group::assertHoldsConfirmed);
            confirmed += group.confirmed.size();
        }
        assertThat(confirmed).isGreaterThan(2000);
    }

    @Test
    void anIdempotencyKeyUsedWithAnotherStatementIsRefused() throws MemberException {
        MemberState state = new MemberState("a");
        state.fence(1);
        state.promote(1, 0);
        Idempotency key = new Idempotency("account", "key");
        state.run(1, "put a 1", true, key, 0);
        assertThat(state.run(1, "put a 1", true, key, 0).replayed()).isTrue();
        assertThat(kindOf(() -> state.run(1, "put a 2", true, key, 0)))
                .isEqualTo(MemberException.Kind.IDEMPOTENCY_KEY_REUSED);
        assertThat(state.entries()).hasSize(2);
    }

    @Test
    void termsAreTakenOnlyUpwards() throws MemberException {
        MemberState state = new MemberState("a");
        state.fence(3);
        for (long term = 0; term <= 3; term++) {
            long staleTerm = term;
            assertThat(kindOf(() -> state.fence(staleTerm))).isEqualTo(MemberException.Kind.STALE_TERM);
        }
        assertThat(kindOf(() -> state.promote(2, 0))).isEqualTo(MemberException.Kind.STALE_TERM);
        assertThat(kindOf(() -> state.promote(4, 0))).isEqualTo(MemberException.Kind.NOT_FENCED);
        assertThat(kindOf(() -> state.run(3, "get k", false, null, 0))).isEqualTo(MemberException.Kind.NOT_PRIMARY);
        state.promote(3, 0);
        state.promote(3, 0);
        assertThat(state.standing().last()).isEqualTo(new LogPosition(3, 1));
        assertThat(kindOf(() -> state.follow(3, "b"))).isEqualTo(MemberException.Kind.NOT_FENCED);
        assertThat(kindOf(() -> state.run(2, "get k", false, null, 0))).isEqualTo(MemberException.Kind.WRONG_TERM);
        state.follow(4, "b");
        LogSlice late = new LogSlice(true, 1, List.of());
        assertThat(state.replicate(3, new LogPosition(3, 1), late)).isFalse();
        assertThat(kindOf(() -> state.run(4, "get k", false, null, 0))).isEqualTo(MemberException.Kind.NOT_PRIMARY);
    }

    @Test
    void repeatedIdempotencyKeyReturnsTheRecordedResult() throws MemberException {
        MemberState state = primary();
        Idempotency key = new Idempotency("account", "key");
        Outcome first = state.run(1, "add k 2", true, key, 0);
        Outcome repeat = state.run(1, "add k 2", true, key, 0);
        assertThat(repeat).isEqualTo(new Outcome(1, first.last(), "2", true));
        Transaction transaction = state.begin(1);
        state.runIn(transaction, "add k 2", true);
        assertThat(state.commit(transaction, 1, key, 0).replayed()).isTrue();
        Transaction other = state.begin(1);
        state.runIn(other, "add k 5", true);
        assertThat(kindOf(() -> state.commit(other, 1, key, 0))).isEqualTo(MemberException.Kind.IDEMPOTENCY_KEY_REUSED);
        assertThat(state.run(1, "add k 2", true, new Idempotency("other", "key"), 0)
                        .result())
                .isEqualTo("4");
    }

    @Test
    void transactionIsAtomicAndRefusedAfterAConflict() throws MemberException {
        MemberState state = primary();
        Transaction first = state.begin(1);
        Transaction second = state.begin(1);
        state.runIn(first, "add k 1", true);
        state.runIn(first, "append l x", true);
        state.runIn(second, "add k 1", true);
        assertThat(state.run(1, "get k", false, null, 0).result()).isEmpty();
        assertThat(state.commit(first, 1, null, 0).last()).isEqualTo(new LogPosition(1, 2));
        assertThat(kindOf(() -> state.commit(second, 1, null, 0))).isEqualTo(MemberException.Kind.STATEMENT_REJECTED);
        assertThat(state.run(1, "get l", false, null, 0).result()).isEqualTo("x");
    }

    private static MemberState primary() throws MemberException {
        MemberState state = new MemberState("a");
        state.fence(1);
        state.promote(1, 0);
        return state;
    }

    private interface Call {
        void run() throws MemberException;
    }

    private static MemberException.Kind kindOf(Call call) {
        return assertThrows(MemberException.class, call::run).kind();
    }

    private static boolean accepted(Call call) {
        try {
            call.run();
            return true;
        } catch (MemberException exception) {
            return false;
        }
    }

    /** A proposer that fences members one by one and promotes the highest once it has a majority. */
    private static final class Proposer {
        private final long term;
        private final Set<Integer> asked = new HashSet<>();
        private final List<Integer> fenced = new ArrayList<>();
        private final List<LogPosition> places = new ArrayList<>();
        private int promoted = -1;

        Proposer(long term) {
            this.term = term;
        }
    }

    /** A commit whose confirmation by status reads is under way. */
    private record Confirmation(LogEntry entry, Set<Integer> members) {}

    /** An answer to a replica that asked for entries, not delivered yet. */
    private record Answer(MemberState replica, Standing asked, LogSlice slice) {}

    private static final class Group {
        private final long seed;
        private final Random random;
        private final List<MemberState> members;
        private final List<Proposer> proposers = new ArrayList<>();
        private final List<Answer> answers = new ArrayList<>();
        private final List<Confirmation> confirmations = new ArrayList<>();
        private final List<LogEntry> confirmed = new ArrayList<>();
        private int writes;

        Group(long seed, int size) {
            this.seed = seed;
            this.random = new Random(seed);
            this.members = IntStream.range(0, size)
                    .mapToObj(number -> new MemberState("m" + number))
                    .toList();
            proposers.add(new Proposer(1));
        }

        void step() {
            int action = random.nextInt(100);
            if (action < 1) {
                proposers.add(new Proposer(1 + random.nextInt(proposers.size() + 2)));
            } else if (action < 20) {
                advance(proposers.get(proposers.size() - 1 - random.nextInt(Math.min(3, proposers.size()))));
            } else if (action < 40) {
                write(member());
            } else if (action < 70) {
                replicate(member(), member());
                deliver();
            } else {
                confirm();
            }
        }

        private int member() {
            return random.nextInt(members.size());
        }

        private void advance(Proposer proposer) {
            int number = member();
            MemberState target = members.get(number);
            if (proposer.fenced.size() <= members.size() / 2) {
                if (proposer.asked.add(number) && accepted(() -> target.fence(proposer.term))) {
                    proposer.fenced.add(number);
                    proposer.places.add(target.standing().last());
                }
                return;
            }
            if (proposer.promoted < 0) {
                LogPosition highest = proposer.places.stream().reduce(LogPosition.START, LogPosition::latest);
                proposer.promoted = proposer.fenced.get(proposer.places.indexOf(highest));
            }
            MemberState successor = members.get(proposer.promoted);
            if (accepted(() -> successor.promote(proposer.term, 0))) {
                assertHoldsConfirmed(successor);
            }
            Standing standing = successor.standing();
            boolean leads = standing.term() == proposer.term && standing.role() == Role.PRIMARY;
            if (leads && random.nextBoolean()) {
                accepted(() -> target.follow(proposer.term, "m" + proposer.promoted));
            }
        }

        private void write(int number) {
            MemberState target = members.get(number);
            writes++;
            if (accepted(() -> target.run(target.standing().term(), "put k " + writes, true, null, 0))) {
                List<LogEntry> entries = target.entries();
                confirmations.add(new Confirmation(entries.get(entries.size() - 1), new HashSet<>()));
            }
        }

        private void replicate(int from, int to) {
            MemberState replica = members.get(to);
            Standing standing = replica.standing();
            if (!standing.primaryMember().equals("m" + from) || from == to) {
                return;
            }
            try {
                LogSlice slice = members.get(from).slice(standing.term(), standing.last(), 1 + random.nextInt(4));
                answers.add(new Answer(replica, standing, slice));
            } catch (MemberException exception) {
                assertThat(exception.kind()).isAnyOf(MemberException.Kind.WRONG_TERM, MemberException.Kind.NOT_PRIMARY);
            }
        }

        /** Delivers an answer late, in any order, and sometimes twice. */
        private void deliver() {
            if (answers.isEmpty() || random.nextInt(5) == 0) {
                return;
            }
            int number = random.nextInt(answers.size());
            Answer answer = random.nextInt(4) == 0 ? answers.get(number) : answers.remove(number);
            Standing asked = answer.asked();
            answer.replica().replicate(asked.term(), asked.last(), answer.slice());
        }

        private void confirm() {
            if (confirmations.isEmpty()) {
                return;
            }
            Confirmation confirmation = confirmations.get(random.nextInt(confirmations.size()));
            LogEntry entry = confirmation.entry();
            int number = member();
            Standing standing = members.get(number).standing();
            boolean covers = standing.term() == entry.term()
                    && standing.last().covers(new LogPosition(entry.term(), entry.position()));
            if (covers
                    && confirmation.members().add(number)
                    && confirmation.members().size() > members.size() / 2) {
                confirmations.remove(confirmation);
                confirmed.add(entry);
            }
        }

        /** Checks that a primary holds all that was confirmed in earlier terms. */
        private void assertHoldsConfirmed(MemberState member) {
            Standing standing = member.standing();
            if (standing.role() != Role.PRIMARY) {
                return;
            }
            List<LogEntry> entries = member.entries();
            for (LogEntry entry : confirmed) {
                if (entry.term() >= standing.term()) {
                    continue;
                }
                Optional<LogEntry> held = entries.stream()
                        .filter(other -> other.position() == entry.position())
                        .findFirst();
                assertWithMessage("seed %s, primary of term %s", seed, standing.term())
                        .that(held)
                        .hasValue(entry);
            }
        }
    }
}
