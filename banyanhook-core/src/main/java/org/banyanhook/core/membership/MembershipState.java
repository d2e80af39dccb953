package org.banyanhook.core.membership;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * What one entry VM believes about the others, by random probes, indirect probes, suspicion, refutation and news that
 * goes with the probes (SWIM).
 *
 * <p>Time and randomness are arguments; the caller sends the messages. Not safe for use by several threads.
 */
public final class MembershipState {

    private static final int REFRESHED_MEMBERS_PER_MESSAGE = 2;

    private final MembershipTimings timings;
    private final int updatesPerMessage;
    private final TreeMap<String, MemberRecord> others = new TreeMap<>();
    private final MembershipUpdateQueue updateQueue = new MembershipUpdateQueue();
    private final ProbeRing ring;
    private Member self;
    private String lastRefreshedName = "";

    private record MemberRecord(Member member, long changedMillis) {}

    /**
     * Creates the state of a member that knows nobody.
     *
     * @param self this member, alive
     * @param timings how long beliefs last
     * @param updatesPerMessage how much news may go with a message
     */
    public MembershipState(Member self, MembershipTimings timings, int updatesPerMessage) {
        checkArgument(
                updatesPerMessage > REFRESHED_MEMBERS_PER_MESSAGE,
                "newsPerMessage must be over 2, was %s",
                updatesPerMessage);
        this.self = self;
        this.timings = timings;
        this.updatesPerMessage = updatesPerMessage;
        this.ring = new ProbeRing(self.name());
    }

    /** Returns this member as it describes itself. */
    public Member self() {
        return self;
    }

    /** Returns what is believed about a member, empty if it is unknown or forgotten. */
    public Optional<Member> find(String name) {
        if (name.equals(self.name())) {
            return Optional.of(self);
        }
        return Optional.ofNullable(others.get(name)).map(MemberRecord::member);
    }

    /** Returns the members believed to run, this one included, ordered by name. */
    public List<Member> running() {
        TreeMap<String, Member> result = new TreeMap<>();
        result.put(self.name(), self);
        others.forEach((name, known) -> {
            if (known.member().isRunning()) {
                result.put(name, known.member());
            }
        });
        return ImmutableList.copyOf(result.values());
    }

    /** Returns everything believed, dead members included, for a member that joins. */
    public List<Member> allMembers() {
        ImmutableList.Builder<Member> result = ImmutableList.builder();
        result.add(self);
        others.values().forEach(known -> result.add(known.member()));
        return result.build();
    }

    /**
     * Chooses the next member to probe.
     *
     * @param random any number
     * @return the target, or empty if no other member is believed to run
     */
    public Optional<Member> chooseProbe(long random) {
        List<String> candidates = ring.successors();
        return candidates.isEmpty() ? Optional.empty() : find(pick(candidates, random));
    }

    /**
     * Chooses a dead member to try again, so that the halves of a healed partition find each other.
     *
     * @param random any number
     * @return the member, or empty if none is remembered as dead
     */
    public Optional<Member> chooseReconnection(long random) {
        List<Member> dead = others.values().stream()
                .map(MemberRecord::member)
                .filter(member -> !member.isRunning())
                .toList();
        return dead.isEmpty() ? Optional.empty() : Optional.of(pick(dead, random));
    }

    /**
     * Chooses members that probe a target on behalf of this one.
     *
     * @param target the name of the target
     * @param count how many at most
     * @param random any number
     * @return members believed to be alive, without the target
     */
    public List<Member> chooseIndirectProbers(String target, int count, long random) {
        List<Member> candidates = new ArrayList<>();
        for (String name : ring.successors()) {
            find(name)
                    .filter(member -> member.state() == MemberState.ALIVE && !name.equals(target))
                    .ifPresent(candidates::add);
        }
        List<Member> probers = new ArrayList<>();
        long remainingRandom = random;
        while (probers.size() < count && !candidates.isEmpty()) {
            int index = (int) Long.remainderUnsigned(remainingRandom, candidates.size());
            probers.add(candidates.remove(index));
            remainingRandom = Long.rotateRight(remainingRandom, 17);
        }
        return probers;
    }

    /**
     * Chooses the news that goes with a message.
     *
     * @param receiver the name of the receiver, empty if it is not known yet
     * @return what is believed of the receiver if that is not good, recent news, and a slice of the rest in turn
     */
    public List<Member> updatesFor(String receiver) {
        LinkedHashMap<String, Member> updates = new LinkedHashMap<>();
        find(receiver)
                .filter(member -> member.state() != MemberState.ALIVE && !receiver.equals(self.name()))
                .ifPresent(member -> updates.put(receiver, member));
        if (self.state() == MemberState.LEAVING) {
            updates.put(self.name(), self);
        }
        int recent = updatesPerMessage - updates.size() - REFRESHED_MEMBERS_PER_MESSAGE;
        for (String name : updateQueue.take(recent)) {
            find(name).ifPresent(member -> updates.put(name, member));
        }
        addRefreshed(updates);
        return ImmutableList.copyOf(updates.values());
    }

    /**
     * Takes in news that came with a message.
     *
     * @param updates the news, in any order, old or new
     * @param nowMillis the time on this member's clock
     * @return what changed
     */
    public List<MemberChange> onUpdates(List<Member> updates, long nowMillis) {
        List<MemberChange> changes = new ArrayList<>();
        for (Member member : updates) {
            if (member.name().equals(self.name())) {
                onUpdateAboutSelf(member, changes);
            } else {
                apply(member, nowMillis, "news of a peer", changes);
            }
        }
        return changes;
    }

    /**
     * Takes in that a member sent or answered a message.
     *
     * @param sender the sender as it describes itself
     * @param nowMillis the time on this member's clock
     * @return what changed; a suspect stays one until it refutes with a higher incarnation
     */
    public List<MemberChange> onContact(Member sender, long nowMillis) {
        List<MemberChange> changes = new ArrayList<>();
        if (!sender.name().equals(self.name())) {
            apply(sender, nowMillis, "it sent a message", changes);
        }
        return changes;
    }

    /**
     * Takes in that a member answered neither a direct probe nor any indirect one.
     *
     * @param target the member as it was when probed
     * @param nowMillis the time on this member's clock
     * @return what changed
     */
    public List<MemberChange> onProbeUnanswered(Member target, long nowMillis) {
        List<MemberChange> changes = new ArrayList<>();
        MemberRecord known = others.get(target.name());
        if (known != null && known.member().equals(target) && target.state() == MemberState.ALIVE) {
            apply(target.withState(MemberState.SUSPECT), nowMillis, "no direct or indirect probe answered", changes);
        }
        return changes;
    }

    /**
     * Lets time pass: suspects become dead, dead members are forgotten.
     *
     * @param nowMillis the time on this member's clock
     * @return what changed
     */
    public List<MemberChange> onTick(long nowMillis) {
        List<MemberChange> changes = new ArrayList<>();
        for (MemberRecord known : List.copyOf(others.values())) {
            Member member = known.member();
            long age = nowMillis - known.changedMillis();
            if (member.state() == MemberState.SUSPECT && age >= timings.suspicionTimeoutMillis()) {
                apply(member.withState(MemberState.DEAD), nowMillis, "suspicion was not refuted in time", changes);
            } else if (member.state() == MemberState.LEAVING && age >= timings.leavingTimeoutMillis()) {
                apply(member.withState(MemberState.DEAD), nowMillis, "its shutdown time has passed", changes);
            } else if (member.state() == MemberState.DEAD && age >= timings.deadRetentionMillis()) {
                others.remove(member.name());
                updateQueue.remove(member.name());
            }
        }
        return changes;
    }

    /** Announces that this member shuts down. */
    public void leave() {
        self = self.withState(MemberState.LEAVING);
        updateQueue.add(self.name(), others.size() + 1);
    }

    private void onUpdateAboutSelf(Member update, List<MemberChange> changes) {
        boolean expectedEnd = self.state() == MemberState.LEAVING && update.state() == MemberState.DEAD;
        if (!update.supersedes(self) || expectedEnd) {
            return;
        }
        boolean otherProcess = !update.peerAddress().equals(self.peerAddress());
        boolean running = update.state() == MemberState.ALIVE || update.state() == MemberState.SUSPECT;
        if (otherProcess && running && update.incarnation() > self.incarnation()) {
            changes.add(new MemberChange(update, "another process took over the name of this one"));
            return;
        }
        self = self.withIncarnation(update.incarnation() + 1);
        updateQueue.add(self.name(), others.size() + 1);
        changes.add(new MemberChange(self, "refuted news that it is " + update.state()));
    }

    private void apply(Member member, long nowMillis, String reason, List<MemberChange> changes) {
        MemberRecord known = others.get(member.name());
        if (known != null && !member.supersedes(known.member())) {
            return;
        }
        if (known == null && !member.isRunning()) {
            return;
        }
        others.put(member.name(), new MemberRecord(member, nowMillis));
        updateQueue.add(member.name(), others.size() + 1);
        if (member.isRunning()) {
            ring.add(member.name());
        } else {
            ring.remove(member.name());
        }
        changes.add(new MemberChange(member, reason));
    }

    private void addRefreshed(LinkedHashMap<String, Member> updates) {
        Map.Entry<String, MemberRecord> next = others.higherEntry(lastRefreshedName);
        for (int i = 0; i < REFRESHED_MEMBERS_PER_MESSAGE; i++) {
            if (next == null) {
                lastRefreshedName = "";
                return;
            }
            lastRefreshedName = next.getKey();
            updates.putIfAbsent(lastRefreshedName, next.getValue().member());
            next = others.higherEntry(lastRefreshedName);
        }
    }

    private static <T> T pick(List<T> candidates, long random) {
        return candidates.get((int) Long.remainderUnsigned(random, candidates.size()));
    }
}
