package org.banyanhook.core.primary;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.banyanhook.core.configuration.BackendServer;
import org.banyanhook.core.configuration.Database;
import org.banyanhook.core.replication.LogPosition;
import org.jspecify.annotations.Nullable;

/**
 * One random run of proposers and writers against one group, determined by its seed. Calls and answers are pending
 * messages that are delivered in any order, lost or duplicated; members freeze and links are cut.
 */
final class PromotionInterleaving {

    /** Decides whether a commit is acknowledged; tests replace it to check that a wrong rule is detected. */
    interface ConfirmationRule {
        ConfirmationResult evaluate(
                List<MemberObservation> observations, int majority, LogPosition target, long afterNanos);
    }

    static final ConfirmationRule MAJORITY_RULE = MajorityConfirmation::evaluate;

    private static final long STEP_NANOS = 10_000_000L;
    private static final int PROPOSER_COUNT = 3;
    private static final int RECOVERY_ROUNDS = 60;
    private static final int STEPS_PER_RECOVERY_ROUND = 20;
    private static final int MAXIMUM_PENDING_MESSAGES = 25;

    final PromotionHistory history = new PromotionHistory();

    private final Random random;
    private final Database database;
    private final Function<Database, Database> fencedGroup;
    private final ConfirmationRule rule;
    private final Map<String, FakeMember> members = new TreeMap<>();
    private final Map<String, Integer> blockedUntil = new HashMap<>();
    private final List<Runnable> pendingMessages = new ArrayList<>();
    private final List<Proposer> proposers = new ArrayList<>();
    private final List<Confirmer> confirmers = new ArrayList<>();
    private double lossRate;
    private int step;
    private long nextValue = 1;

    PromotionInterleaving(long seed, int size, ConfirmationRule rule, Function<Database, Database> fencedGroup) {
        this.random = new Random(seed);
        this.rule = rule;
        this.fencedGroup = fencedGroup;
        List<BackendServer> servers = IntStream.range(0, size)
                .mapToObj(index -> new BackendServer("m" + index, "d" + index, "127.0.0.1:" + (9000 + index), false))
                .toList();
        this.database = new Database("orders", servers, 16, 2);
        servers.forEach(server -> members.put(server.name(), new FakeMember(server.name())));
        for (int index = 0; index < PROPOSER_COUNT; index++) {
            proposers.add(new Proposer("p" + index));
            confirmers.add(new Confirmer("w" + index));
        }
        this.lossRate = random.nextDouble() * 0.3;
    }

    PromotionInterleaving run(int steps) {
        for (step = 1; step <= steps; step++) {
            randomStep();
        }
        endFaults();
        history.checkGuarantees(members.values());
        return this;
    }

    private void randomStep() {
        for (int excess = pendingMessages.size() - MAXIMUM_PENDING_MESSAGES; excess > 0; excess--) {
            deliverOne();
        }
        int choice = random.nextInt(100);
        if (choice < 40) {
            deliverOne();
        } else if (choice < 50) {
            writeOrRead();
        } else if (choice < 65) {
            randomElement(confirmers).read();
        } else if (choice < 85) {
            replicateOne();
        } else if (choice < 99) {
            Proposer proposer = proposers.get(random.nextInt(PROPOSER_COUNT));
            proposer.act(random.nextInt(proposer.needsPromotion() ? 4 : 25) == 0);
        } else {
            injectFault();
        }
    }

    /**
     * For a random time, freezes a member, pauses a proposer or confirmer, cuts a link, or isolates a member from the
     * proposers and the other members while confirmers still reach it.
     */
    private void injectFault() {
        String member = randomElement(ImmutableList.copyOf(members.keySet()));
        String proposer = "p" + random.nextInt(PROPOSER_COUNT);
        String confirmer = "w" + random.nextInt(PROPOSER_COUNT);
        List<String> faults = List.of(
                member, proposer, confirmer, member + proposer, member + confirmer, isolated(member), isolated(member));
        blockedUntil.put(randomElement(faults), step + 1 + random.nextInt(300));
    }

    private static String isolated(String member) {
        return member + "-isolated";
    }

    private boolean isBlocked(String... names) {
        for (String name : names) {
            if (blockedUntil.getOrDefault(name, 0) > step) {
                return true;
            }
        }
        return false;
    }

    private void endFaults() {
        blockedUntil.clear();
        lossRate = 0;
        for (int round = 0; round < RECOVERY_ROUNDS; round++) {
            while (!pendingMessages.isEmpty()) {
                deliverOne();
            }
            members.keySet().forEach(name -> replicateOne());
            step += STEPS_PER_RECOVERY_ROUND;
            proposers.get(0).act(proposers.get(0).needsPromotion());
        }
    }

    private void deliverOne() {
        if (!pendingMessages.isEmpty()) {
            pendingMessages.remove(random.nextInt(pendingMessages.size())).run();
        }
    }

    private void replicateOne() {
        FakeMember member = randomElement(ImmutableList.copyOf(members.values()));
        FakeMember primary = members.get(member.primaryMember);
        if (primary != null && !isBlocked(member.name, primary.name, isolated(member.name), isolated(primary.name))) {
            member.replicateFrom(primary, 1 + random.nextInt(3));
        }
    }

    private void writeOrRead() {
        Confirmer confirmer = randomElement(confirmers);
        FakeMember member = randomElement(ImmutableList.copyOf(members.values()));
        if (isBlocked(member.name, member.name + confirmer.name, confirmer.name) || member.role != MemberRole.PRIMARY) {
            return;
        }
        if (random.nextInt(3) == 0) {
            LogPosition position = member.status().position();
            confirmer.pendingOperations.add(new PromotionHistory.Operation(position, PromotionHistory.READ, step));
            return;
        }
        long value = nextValue++;
        member.write(member.term, value)
                .ifPresent(position ->
                        confirmer.pendingOperations.add(new PromotionHistory.Operation(position, value, step)));
    }

    /** Adds a call to the pending messages; its answer, or the lack of one, is delivered in the same way. */
    private <T> void call(
            String caller, FakeMember member, Function<FakeMember, T> action, Consumer<Optional<T>> reply) {
        boolean[] answered = {false};
        Consumer<Optional<T>> once = result -> {
            if (!answered[0]) {
                answered[0] = true;
                reply.accept(result);
            }
        };
        int copies = random.nextInt(10) == 0 ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            pendingMessages.add(() -> deliver(caller, member, action, once));
        }
    }

    private <T> void deliver(
            String caller, FakeMember member, Function<FakeMember, T> action, Consumer<Optional<T>> reply) {
        boolean isolated = caller.startsWith("p") && isBlocked(isolated(member.name));
        boolean reaches = !isolated && !isBlocked(member.name, member.name + caller) && random.nextDouble() >= lossRate;
        Optional<T> result = reaches ? Optional.of(action.apply(member)) : Optional.empty();
        boolean returns = random.nextDouble() >= lossRate;
        Runnable[] answer = new Runnable[1];
        answer[0] = () -> {
            if (isBlocked(caller)) {
                pendingMessages.add(answer[0]);
            } else {
                reply.accept(returns ? result : Optional.empty());
            }
        };
        pendingMessages.add(answer[0]);
    }

    private long nanos() {
        return step * STEP_NANOS;
    }

    private <T> T randomElement(List<T> values) {
        return values.get(random.nextInt(values.size()));
    }

    /** Waits for confirmations as a daemon does, based on its own view. */
    private final class Confirmer {
        private final String name;
        private final List<PromotionHistory.Operation> pendingOperations = new ArrayList<>();
        private GroupView view = new GroupView(database, Map.of());

        Confirmer(String name) {
            this.name = name;
        }

        /** Reads the status of one member for all pending operations. */
        void read() {
            long began = nanos();
            FakeMember member = randomElement(ImmutableList.copyOf(members.values()));
            call(name, member, FakeMember::status, reply -> {
                reply.ifPresent(status -> view = view.with(new MemberObservation(status, began)));
                pendingOperations.removeIf(this::isDecided);
            });
        }

        private boolean isDecided(PromotionHistory.Operation waiter) {
            ConfirmationResult result = rule.evaluate(
                    List.copyOf(view.observations().values()),
                    database.majoritySize(),
                    waiter.position(),
                    waiter.step() * STEP_NANOS);
            if (result == ConfirmationResult.CONFIRMED) {
                history.recordAcknowledged(waiter, step);
            }
            return result != ConfirmationResult.WAITING;
        }
    }

    /** Runs proposals and follower repair as the daemon does, based on a view that may be outdated. */
    private final class Proposer {
        private final String name;
        private GroupView view = new GroupView(database, Map.of());
        private @Nullable PromotionProposal proposal;

        Proposer(String name) {
            this.name = name;
        }

        boolean needsPromotion() {
            return view.primary().isEmpty() || FollowerRepair.needsNewTerm(view);
        }

        void act(boolean propose) {
            if (isBlocked(name)) {
                return;
            }
            PromotionProposal current = proposal;
            if (current != null) {
                execute(current, current.onTick(nanos()));
            } else if (propose) {
                String leaving = "m" + random.nextInt(2 * database.members().size());
                Predicate<BackendServer> avoided = server -> server.name().equals(leaving);
                current = new PromotionProposal(
                        fencedGroup.apply(database), view.highestTerm() + 1, server -> 0, avoided);
                proposal = current;
                execute(current, current.start(nanos()));
            } else if (random.nextInt(3) == 0) {
                FollowerRepair.followCommands(view).forEach(command -> follow(command, (done, termSeen) -> {}));
            } else {
                members.values().forEach(member -> read(member, FakeMember::status, status -> {}));
            }
        }

        private void execute(PromotionProposal current, List<PromotionCommand> commands) {
            commands.forEach(command -> execute(current, command));
            if (current.state().isFinal() && proposal == current) {
                proposal = null;
            }
        }

        private void execute(PromotionProposal current, PromotionCommand command) {
            FakeMember member = requireNonNull(members.get(command.member()));
            switch (command.kind()) {
                case FENCE ->
                    answer(
                            member,
                            target -> target.fence(command.term()),
                            (done, status) -> execute(
                                    current,
                                    done
                                            ? current.onFenced(status.orElseThrow(), nanos())
                                            : current.onFenceFailed(command.member(), term(status), nanos())));
                case PROMOTE ->
                    answer(
                            member,
                            target -> promote(target, command.term()),
                            (done, status) -> execute(
                                    current,
                                    done
                                            ? current.onPromoted(status.orElseThrow(), nanos())
                                            : current.onPromoteFailed(status.isPresent(), term(status))));
                case FOLLOW ->
                    follow(command, (done, status) -> {
                        if (done) {
                            current.onFollowed(command.member());
                        } else {
                            current.onFollowFailed(term(status));
                        }
                        execute(current, List.of());
                    });
                default -> {}
            }
        }

        private void follow(PromotionCommand command, AnswerHandler answer) {
            answer(
                    requireNonNull(members.get(command.member())),
                    target -> target.follow(command.term(), command.primaryMember()),
                    answer);
        }

        private boolean promote(FakeMember member, long term) {
            boolean first = member.term == term && member.role == MemberRole.FENCED;
            boolean done = member.promote(term);
            if (done && first) {
                history.recordPromotion(member, step);
            }
            return done;
        }

        private void answer(FakeMember member, Function<FakeMember, Boolean> action, AnswerHandler answer) {
            boolean[] done = {false};
            read(
                    member,
                    target -> {
                        boolean result = action.apply(target);
                        return new Reply(result, target.status());
                    },
                    reply -> {
                        done[0] = reply.map(Reply::done).orElse(false);
                        answer.accept(done[0], reply.map(Reply::status));
                    });
        }

        private <T> void read(FakeMember member, Function<FakeMember, T> action, Consumer<Optional<T>> next) {
            long began = nanos();
            call(name, member, action, reply -> {
                reply.map(result -> result instanceof Reply full ? full.status() : (MemberStatus) result)
                        .ifPresent(status -> view = view.with(new MemberObservation(status, began)));
                next.accept(reply);
            });
        }

        private static long term(Optional<MemberStatus> status) {
            return status.map(MemberStatus::term).orElse(0L);
        }
    }

    private record Reply(boolean done, MemberStatus status) {}

    @FunctionalInterface
    private interface AnswerHandler {
        void accept(boolean done, Optional<MemberStatus> status);
    }
}
