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
 * The membership state of one entry VM according to the SWIM protocol: random probes, indirect probes, suspicion,
 * refutation, and membership updates that are piggybacked on the probes.
 *
 * <p>Time and random numbers are passed as arguments, and the caller sends the messages. Not safe for use by several
 * threads.
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
     * Creates the state of a member without known other members.
     *
     * @param self this member, alive
     * @param timings the timeouts of membership states
     * @param updatesPerMessage the maximum number of membership updates in a message
     */
    public MembershipState(Member self, MembershipTimings timings, int updatesPerMessage) {
        checkArgument(
                updatesPerMessage > REFRESHED_MEMBERS_PER_MESSAGE,
                "updatesPerMessage must be greater than 2, was %s",
                updatesPerMessage);
        this.self = self;
        this.timings = timings;
        this.updatesPerMessage = updatesPerMessage;
        this.ring = new ProbeRing(self.name());
    }

    /** Returns the record of this member itself. */
    public Member self() {
        return self;
    }

    /** Returns the known record of a member, or empty if the member is unknown or its record was removed. */
    public Optional<Member> find(String name) {
        if (name.equals(self.name())) {
            return Optional.of(self);
        }
        return Optional.ofNullable(others.get(name)).map(MemberRecord::member);
    }

    /** Returns the members that are not dead, including this one, ordered by name. */
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

    /** Returns the records of all members, including dead ones, for a member that joins. */
    public List<Member> allMembers() {
        ImmutableList.Builder<Member> result = ImmutableList.builder();
        result.add(self);
        others.values().forEach(known -> result.add(known.member()));
        return result.build();
    }

    /**
     * Chooses the next member to probe.
     *
     * @param random a random number
     * @return the target, or empty if all other members are dead or none is known
     */
    public Optional<Member> chooseProbe(long random) {
        List<String> candidates = ring.successors();
        return candidates.isEmpty() ? Optional.empty() : find(pick(candidates, random));
    }

    /**
     * Chooses a dead member to contact again, so that the two sides of a healed partition reconnect.
     *
     * @param random a random number
     * @return the member, or empty if there is no record of a dead member
     */
    public Optional<Member> chooseReconnection(long random) {
        List<Member> dead = others.values().stream()
                .map(MemberRecord::member)
                .filter(member -> !member.isRunning())
                .toList();
        return dead.isEmpty() ? Optional.empty() : Optional.of(pick(dead, random));
    }

    /**
     * Chooses members that probe a target on behalf of this member.
     *
     * @param target the name of the target
     * @param count the maximum number of members
     * @param random a random number
     * @return alive members other than the target
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
     * Chooses the membership updates that are piggybacked on a message.
     *
     * @param receiver the name of the receiver, or an empty string if it is not known yet
     * @return the record of the receiver if it is not alive, recent updates, and the next records of all members in
     *     turn
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
     * Handles membership updates that were piggybacked on a message.
     *
     * @param updates the updates, in any order, possibly outdated
     * @param nowMillis the time on this member's clock
     * @return the changes
     */
    public List<MemberChange> onUpdates(List<Member> updates, long nowMillis) {
        List<MemberChange> changes = new ArrayList<>();
        for (Member member : updates) {
            if (member.name().equals(self.name())) {
                onUpdateAboutSelf(member, changes);
            } else {
                apply(member, nowMillis, "membership update from a peer", changes);
            }
        }
        return changes;
    }

    /**
     * Handles that a member sent or answered a message.
     *
     * @param sender the record that the sender sent of itself
     * @param nowMillis the time on this member's clock
     * @return the changes; a suspect member remains suspect until it refutes with a higher incarnation
     */
    public List<MemberChange> onContact(Member sender, long nowMillis) {
        List<MemberChange> changes = new ArrayList<>();
        if (!sender.name().equals(self.name())) {
            apply(sender, nowMillis, "the member sent or answered a message", changes);
        }
        return changes;
    }

    /**
     * Handles that a member answered neither the direct probe nor any indirect probe.
     *
     * @param target the record of the member when it was probed
     * @param nowMillis the time on this member's clock
     * @return the changes
     */
    public List<MemberChange> onProbeUnanswered(Member target, long nowMillis) {
        List<MemberChange> changes = new ArrayList<>();
        MemberRecord known = others.get(target.name());
        if (known != null && known.member().equals(target) && target.state() == MemberState.ALIVE) {
            apply(
                    target.withState(MemberState.SUSPECT),
                    nowMillis,
                    "no direct or indirect probe was answered",
                    changes);
        }
        return changes;
    }

    /**
     * Advances the time: suspect and leaving members become dead after their timeouts, and expired records of dead
     * members are removed.
     *
     * @param nowMillis the time on this member's clock
     * @return the changes
     */
    public List<MemberChange> onTick(long nowMillis) {
        List<MemberChange> changes = new ArrayList<>();
        for (MemberRecord known : List.copyOf(others.values())) {
            Member member = known.member();
            long age = nowMillis - known.changedMillis();
            if (member.state() == MemberState.SUSPECT && age >= timings.suspicionTimeoutMillis()) {
                apply(member.withState(MemberState.DEAD), nowMillis, "the suspicion was not refuted in time", changes);
            } else if (member.state() == MemberState.LEAVING && age >= timings.leavingTimeoutMillis()) {
                apply(
                        member.withState(MemberState.DEAD),
                        nowMillis,
                        "the time for its announced shutdown has passed",
                        changes);
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
            changes.add(new MemberChange(update, "another process has taken over the name of this entry VM"));
            return;
        }
        self = self.withIncarnation(update.incarnation() + 1);
        updateQueue.add(self.name(), others.size() + 1);
        changes.add(new MemberChange(self, "refuted the update that it is " + update.state()));
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
