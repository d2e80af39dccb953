package org.banyanhook.core.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * Simulates a fleet of membership states with lost and repeated messages, a network partition, and killed processes.
 */
final class MembershipSimulation {

    private static final long STEP_MILLIS = 100;
    private static final double REPEAT_PROBABILITY = 0.1;

    private final Random random;
    private final Map<String, MembershipState> states = new TreeMap<>();
    private final Set<String> killed = new HashSet<>();
    private final List<List<Member>> sentUpdates = new ArrayList<>();
    private boolean partitioned;
    private long nowMillis;

    MembershipSimulation(long seed, int size) {
        random = new Random(seed);
        for (int i = 0; i < size; i++) {
            states.put(name(i), MembershipStateTest.stateOf(name(i)));
        }
        MembershipState first = state(name(0));
        states.values().forEach(state -> state.onContact(first.self(), 0));
    }

    void partition() {
        partitioned = true;
    }

    void heal() {
        partitioned = false;
    }

    void kill(int number) {
        killed.add(name(number));
    }

    void restart(int number) {
        MembershipState fresh = new MembershipState(
                MembershipStateTest.member(name(number), 1_000, MemberState.ALIVE),
                new MembershipTimings(1_000, 2_000, 100_000),
                6);
        fresh.onContact(state(name(0)).self(), nowMillis);
        states.put(name(number), fresh);
    }

    void run(long millis, double loss) {
        long end = nowMillis + millis;
        while (nowMillis < end) {
            nowMillis += STEP_MILLIS;
            states.forEach((name, state) -> step(name, state, loss));
        }
    }

    /** Describes each running member whose list of running members is wrong. */
    List<String> incorrectViews() {
        List<String> incorrect = new ArrayList<>();
        Set<String> living = new HashSet<>(states.keySet());
        living.removeAll(killed);
        for (String name : living) {
            Set<String> listed = new HashSet<>();
            state(name).running().forEach(member -> listed.add(member.name()));
            if (!listed.equals(living)) {
                incorrect.add(name + " lists as running " + listed);
            }
        }
        return incorrect;
    }

    private void step(String name, MembershipState state, double loss) {
        if (killed.contains(name)) {
            return;
        }
        state.onTick(nowMillis);
        if (random.nextInt(10) == 0) {
            state.chooseReconnection(random.nextLong()).ifPresent(target -> exchange(state, target.name(), loss));
        }
        state.chooseProbe(random.nextLong()).ifPresent(target -> probe(state, target, loss));
    }

    private void probe(MembershipState state, Member target, double loss) {
        if (exchange(state, target.name(), loss)) {
            return;
        }
        boolean answered = false;
        for (Member prober : state.chooseIndirectProbers(target.name(), 3, random.nextLong())) {
            answered |= exchange(state, prober.name(), loss) && exchange(state(prober.name()), target.name(), loss);
        }
        if (!answered) {
            state.onProbeUnanswered(target, nowMillis);
        }
    }

    private boolean exchange(MembershipState sender, String receiverName, double loss) {
        MembershipState receiver = state(receiverName);
        if (lost(sender.self().name(), receiverName, loss)) {
            return false;
        }
        deliver(sender, receiver);
        if (lost(receiverName, sender.self().name(), loss)) {
            return false;
        }
        deliver(receiver, sender);
        return true;
    }

    private void deliver(MembershipState sender, MembershipState receiver) {
        List<Member> updates = sender.updatesFor(receiver.self().name());
        receiver.onUpdates(updates, nowMillis);
        receiver.onContact(sender.self(), nowMillis);
        sentUpdates.add(updates);
        if (random.nextDouble() < REPEAT_PROBABILITY) {
            receiver.onUpdates(sentUpdates.get(random.nextInt(sentUpdates.size())), nowMillis);
        }
    }

    private boolean lost(String from, String to, double loss) {
        boolean separated = partitioned && from.compareTo(name(4)) < 0 != to.compareTo(name(4)) < 0;
        return separated || killed.contains(to) || random.nextDouble() < loss;
    }

    private MembershipState state(String name) {
        return Objects.requireNonNull(states.get(name));
    }

    private static String name(int number) {
        return "vm-" + number;
    }
}
