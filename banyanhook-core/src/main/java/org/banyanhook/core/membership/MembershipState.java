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

    private static final int REFRESHED_PER_MESSAGE = 2;

    private final MembershipTimings timings;
    private final int newsPerMessage;
    private final TreeMap<String, Belief> others = new TreeMap<>();
    private final NewsQueue newsQueue = new NewsQueue();
    private final ProbeRing ring;
    private Member self;
    private String refreshedUpTo = "";

    private record Belief(Member member, long sinceMillis) {}

    /**
     * Creates the state of a member that knows nobody.
     *
     * @param self this member, alive
     * @param timings how long beliefs last
     * @param newsPerMessage how much news may go with a message
     */
    public MembershipState(Member self, MembershipTimings timings, int newsPerMessage) {
        checkArgument(newsPerMessage > REFRESHED_PER_MESSAGE, "newsPerMessage must be over 2, was %s", newsPerMessage);
        this.self = self;
        this.timings = timings;
        this.newsPerMessage = newsPerMessage;
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
        return Optional.ofNullable(others.get(name)).map(Belief::member);
    }

    /** Returns the members believed to run, this one included, ordered by name. */
    public List<Member> running() {
        TreeMap<String, Member> result = new TreeMap<>();
        result.put(self.name(), self);
        others.forEach((name, belief) -> {
            if (belief.member().isRunning()) {
                result.put(name, belief.member());
            }
        });
        return ImmutableList.copyOf(result.values());
    }

    /** Returns everything believed, dead members included, for a member that joins. */
    public List<Member> everything() {
        ImmutableList.Builder<Member> result = ImmutableList.builder();
        result.add(self);
        others.values().forEach(belief -> result.add(belief.member()));
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
                .map(Belief::member)
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
    public List<Member> chooseHelpers(String target, int count, long random) {
        List<Member> candidates = new ArrayList<>();
        for (String name : ring.successors()) {
            find(name)
                    .filter(member -> member.state() == MemberState.ALIVE && !name.equals(target))
                    .ifPresent(candidates::add);
        }
        List<Member> helpers = new ArrayList<>();
        long rest = random;
        while (helpers.size() < count && !candidates.isEmpty()) {
            int index = (int) Long.remainderUnsigned(rest, candidates.size());
            helpers.add(candidates.remove(index));
            rest = Long.rotateRight(rest, 17);
        }
        return helpers;
    }

    /**
     * Chooses the news that goes with a message.
     *
     * @param receiver the name of the receiver, empty if it is not known yet
     * @return what is believed of the receiver if that is not good, recent news, and a slice of the rest in turn
     */
    public List<Member> newsFor(String receiver) {
        LinkedHashMap<String, Member> news = new LinkedHashMap<>();
        find(receiver)
                .filter(member -> member.state() != MemberState.ALIVE && !receiver.equals(self.name()))
                .ifPresent(member -> news.put(receiver, member));
        if (self.state() == MemberState.LEAVING) {
            news.put(self.name(), self);
        }
        int recent = newsPerMessage - news.size() - REFRESHED_PER_MESSAGE;
        for (String name : newsQueue.take(recent)) {
            find(name).ifPresent(member -> news.put(name, member));
        }
        addRefreshed(news);
        return ImmutableList.copyOf(news.values());
    }

    /**
     * Takes in news that came with a message.
     *
     * @param news the news, in any order, old or new
     * @param nowMillis the time on this member's clock
     * @return what changed
     */
    public List<MemberChange> onNews(List<Member> news, long nowMillis) {
        List<MemberChange> changes = new ArrayList<>();
        for (Member member : news) {
            if (member.name().equals(self.name())) {
                onNewsAboutSelf(member, changes);
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
        Belief belief = others.get(target.name());
        if (belief != null && belief.member().equals(target) && target.state() == MemberState.ALIVE) {
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
        for (Belief belief : List.copyOf(others.values())) {
            Member member = belief.member();
            long age = nowMillis - belief.sinceMillis();
            if (member.state() == MemberState.SUSPECT && age >= timings.suspicionMillis()) {
                apply(member.withState(MemberState.DEAD), nowMillis, "suspicion was not refuted in time", changes);
            } else if (member.state() == MemberState.LEAVING && age >= timings.leavingMillis()) {
                apply(member.withState(MemberState.DEAD), nowMillis, "its shutdown time has passed", changes);
            } else if (member.state() == MemberState.DEAD && age >= timings.deadRetentionMillis()) {
                others.remove(member.name());
                newsQueue.remove(member.name());
            }
        }
        return changes;
    }

    /** Announces that this member shuts down. */
    public void leave() {
        self = self.withState(MemberState.LEAVING);
        newsQueue.add(self.name(), others.size() + 1);
    }

    private void onNewsAboutSelf(Member news, List<MemberChange> changes) {
        boolean expectedEnd = self.state() == MemberState.LEAVING && news.state() == MemberState.DEAD;
        if (!news.overrides(self) || expectedEnd) {
            return;
        }
        boolean otherProcess = !news.peerAddress().equals(self.peerAddress());
        boolean running = news.state() == MemberState.ALIVE || news.state() == MemberState.SUSPECT;
        if (otherProcess && running && news.incarnation() > self.incarnation()) {
            changes.add(new MemberChange(news, "another process took over the name of this one"));
            return;
        }
        self = self.withIncarnation(news.incarnation() + 1);
        newsQueue.add(self.name(), others.size() + 1);
        changes.add(new MemberChange(self, "refuted news that it is " + news.state()));
    }

    private void apply(Member member, long nowMillis, String reason, List<MemberChange> changes) {
        Belief belief = others.get(member.name());
        if (belief != null && !member.overrides(belief.member())) {
            return;
        }
        if (belief == null && !member.isRunning()) {
            return;
        }
        others.put(member.name(), new Belief(member, nowMillis));
        newsQueue.add(member.name(), others.size() + 1);
        if (member.isRunning()) {
            ring.add(member.name());
        } else {
            ring.remove(member.name());
        }
        changes.add(new MemberChange(member, reason));
    }

    private void addRefreshed(LinkedHashMap<String, Member> news) {
        Map.Entry<String, Belief> next = others.higherEntry(refreshedUpTo);
        for (int i = 0; i < REFRESHED_PER_MESSAGE; i++) {
            if (next == null) {
                refreshedUpTo = "";
                return;
            }
            refreshedUpTo = next.getKey();
            news.putIfAbsent(refreshedUpTo, next.getValue().member());
            next = others.higherEntry(refreshedUpTo);
        }
    }

    private static <T> T pick(List<T> candidates, long random) {
        return candidates.get((int) Long.remainderUnsigned(random, candidates.size()));
    }
}
