package org.banyanhook.core.primary;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.banyanhook.core.store.StoreRevision;
import org.jspecify.annotations.Nullable;

/**
 * A fleet in three regions with a store in none of them, in steps of 100 ms. Daemons join, restart and leave for good,
 * a region is cut off, and the store serves some daemons or none, all at random. In every step each daemon that may
 * replace the primary does, as soon as the voters suffice, since the safety of a replacement must not rest on its
 * cause.
 */
final class VoterFleetModel {

    private static final String GROUP = "orders";
    private static final long STEP = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long LEASE = TimeUnit.SECONDS.toNanos(5);
    private static final long RETENTION = TimeUnit.SECONDS.toNanos(30);
    private static final int REGIONS = 3;

    private final Random random;
    private final Map<String, Daemon> daemons = new TreeMap<>();
    private final Map<String, Long> entryEnds = new HashMap<>();
    private final Set<String> withoutStore = new HashSet<>();
    private VoterSets storedVoters = VoterSets.NONE;
    private long votersRevision;
    private long promotionRevision;
    private long effectiveRevision;
    private long lastRevision = 1;
    private long now = TimeUnit.MINUTES.toNanos(10);
    private long entriesChanged = now;
    private int cutRegion = -1;
    private long cutEnd;
    private long storeFaultEnd;
    private int nextName;
    private int promotions;
    private int relianceSteps;
    private @Nullable Pending pending;

    /** A recorded promotion whose order is to be given. */
    private record Pending(Daemon owner, long revision, long orderNanos) {}

    private static final class Daemon {
        private final String name;
        private final int region;
        private boolean running = true;
        private long startsAt;
        private boolean hasRead;
        private long contact = Long.MIN_VALUE / 2;
        private VoterSets voters = VoterSets.NONE;
        private long votersRevision;
        private long readRevision;
        private long promotion;
        private final PeerContact peerContact = new PeerContact();
        private final GrantedVotes votes = new GrantedVotes();
        private final Map<String, Long> absentSince = new HashMap<>();

        private Daemon(String name, int region) {
            this.name = name;
            this.region = region;
        }
    }

    VoterFleetModel(long seed) {
        random = new Random(seed);
        for (int count = 3 + random.nextInt(10); count > 0; count--) {
            add(random.nextInt(3) == 0 ? random.nextInt(REGIONS) : 0);
        }
    }

    int promotions() {
        return promotions;
    }

    int relianceSteps() {
        return relianceSteps;
    }

    private void add(int region) {
        String name = "r" + region + "-" + nextName++;
        daemons.put(name, new Daemon(name, region));
    }

    /** Plays some time, and returns the first daemon that uses a replaced primary, or an empty string. */
    String play(long seconds) {
        for (long step = 0; step < seconds * 10; step++) {
            now += STEP;
            if (step > 60) {
                disturb();
            }
            List<Daemon> running =
                    daemons.values().stream().filter(daemon -> daemon.running).toList();
            running.forEach(this::tick);
            endEntries();
            if (step > 40 && step % 5 == 0) {
                running.stream().filter(this::reachesStore).findAny().ifPresent(this::maintain);
            }
            replace(running);
            for (Daemon daemon : running) {
                if (mayUsePrimary(daemon) && daemon.promotion < effectiveRevision) {
                    return daemon.name + " uses a replaced primary after " + step * 100 + " ms";
                }
            }
        }
        return "";
    }

    private void disturb() {
        if (cutRegion >= 0 && now >= cutEnd) {
            cutRegion = -1;
        }
        if (now >= storeFaultEnd) {
            withoutStore.clear();
        }
        List<Daemon> all = new ArrayList<>(daemons.values());
        Daemon any = all.get(random.nextInt(all.size()));
        switch (random.nextInt(400)) {
            case 0, 1, 2 -> {
                cutRegion = random.nextInt(4) == 0 ? random.nextInt(REGIONS) : 0;
                cutEnd = now + TimeUnit.SECONDS.toNanos(1 + random.nextInt(60));
            }
            case 3 -> {
                // The store serves no daemon, or those of a region not.
                int region = random.nextInt(REGIONS + 1);
                all.stream()
                        .filter(daemon -> region == REGIONS || daemon.region == region)
                        .forEach(daemon -> withoutStore.add(daemon.name));
                storeFaultEnd = now + TimeUnit.SECONDS.toNanos(5 + random.nextInt(50));
            }
            case 4, 5, 6, 7 -> restart(any, 1 + random.nextInt(20));
            case 8 -> all.stream().filter(daemon -> daemon.region == any.region).forEach(daemon -> restart(daemon, 10));
            case 9, 10 -> {
                daemons.remove(any.name);
                add(any.region);
            }
            case 11, 12 -> add(random.nextInt(REGIONS));
            case 13 -> {
                if (daemons.size() > 2) {
                    daemons.remove(any.name);
                }
            }
            default -> {}
        }
    }

    private void restart(Daemon daemon, int steps) {
        Daemon next = new Daemon(daemon.name, daemon.region);
        next.startsAt = now + steps * STEP;
        next.running = false;
        daemons.put(daemon.name, next);
    }

    private boolean reachesStore(Daemon daemon) {
        return daemon.running && daemon.region != cutRegion && !withoutStore.contains(daemon.name);
    }

    private boolean reach(Daemon one, Daemon other) {
        return one.running
                && other.running
                && (one.region == other.region || (one.region != cutRegion && other.region != cutRegion));
    }

    private void tick(Daemon daemon) {
        if (reachesStore(daemon)) {
            if (!entryEnds.containsKey(daemon.name)) {
                entriesChanged = now;
            }
            entryEnds.put(daemon.name, now + LEASE);
            daemon.hasRead = true;
            daemon.contact = now;
            daemon.readRevision = lastRevision;
            daemon.promotion = Math.max(daemon.promotion, promotionRevision);
            learn(daemon, storedVoters, votersRevision);
            daemon.voters.all().stream()
                    .filter(voter -> !entryEnds.containsKey(voter))
                    .forEach(voter -> daemon.absentSince.putIfAbsent(voter, now));
            daemon.absentSince.keySet().removeIf(entryEnds::containsKey);
        } else if (daemon.hasRead) {
            inquire(daemon);
        }
    }

    private static void learn(Daemon daemon, VoterSets voters, long revision) {
        if (revision > daemon.votersRevision) {
            daemon.voters = voters;
            daemon.votersRevision = revision;
        }
    }

    /** Asks the voters which primaries were replaced. */
    private void inquire(Daemon daemon) {
        Set<String> answered = new HashSet<>(Set.of(daemon.name));
        Set<String> inDoubt = new HashSet<>();
        for (String name : Set.copyOf(daemon.voters.all())) {
            Daemon voter = daemons.get(name);
            if (voter != null && voter != daemon && voter.hasRead && reach(daemon, voter)) {
                answered.add(name);
                learn(daemon, voter.voters, voter.votersRevision);
                if (voter.promotion > daemon.promotion || isInDoubt(voter)) {
                    inDoubt.add(GROUP);
                }
            }
        }
        daemon.peerContact.recordRound(now, daemon.voters.mayRely(answered, recentlyInContact(answered)), inDoubt);
    }

    private Set<String> recentlyInContact(Set<String> names) {
        Set<String> recent = new HashSet<>(names);
        recent.removeIf(name -> now - requireNonNull(daemons.get(name)).contact > VoterMaintenance.RELIANCE_NANOS);
        return recent;
    }

    private static boolean isInDoubt(Daemon daemon) {
        return !daemon.votes
                .groupsInDoubt(group -> new StoreRevision(0, daemon.promotion), daemon.contact)
                .isEmpty();
    }

    private boolean mayUsePrimary(Daemon daemon) {
        boolean relies = daemon.peerContact.mayUsePrimary(GROUP, now) && !isInDoubt(daemon);
        boolean connected = now - daemon.contact <= PromotionPermission.CONTACT_TIMEOUT_NANOS;
        relianceSteps += relies && !connected ? 1 : 0;
        return daemon.hasRead && (connected || relies);
    }

    private void endEntries() {
        if (entryEnds.values().removeIf(end -> end < now)) {
            entriesChanged = now;
        }
        daemons.values().forEach(daemon -> {
            if (!daemon.running && now >= daemon.startsAt) {
                daemon.running = true;
            }
        });
    }

    private void maintain(Daemon daemon) {
        Map<String, String> registered = new HashMap<>();
        entryEnds.keySet().forEach(name -> registered.put(name, name.substring(0, 2)));
        Map<String, String> absent = new HashMap<>();
        daemon.absentSince.forEach((name, since) -> {
            if (now - since < RETENTION) {
                absent.put(name, name.substring(0, 2));
            }
        });
        Set<String> acknowledged = new HashSet<>();
        daemons.values().stream()
                .filter(voter -> voter.hasRead && voter.readRevision >= daemon.votersRevision && reach(daemon, voter))
                .forEach(voter -> acknowledged.add(voter.name));
        VoterMaintenance.Decision decision = new VoterMaintenance(
                        daemon.voters, false, registered, absent, now - entriesChanged, acknowledged, departed(daemon))
                .decide(domain -> domain);
        if (!decision.sets().equals(daemon.voters) && daemon.votersRevision == votersRevision) {
            storedVoters = decision.sets();
            votersRevision = ++lastRevision;
        }
    }

    private Set<String> departed(Daemon daemon) {
        Set<String> departed = new HashSet<>();
        daemon.absentSince.forEach((name, since) -> {
            if (now - since >= VoterMaintenance.DEPARTED_AFTER_NANOS) {
                departed.add(name);
            }
        });
        return departed;
    }

    /** Records and announces a replacement, or gives the order of the one that was recorded. */
    private void replace(List<Daemon> running) {
        if (pending != null && now >= pending.orderNanos() && reachesStore(pending.owner())) {
            effectiveRevision = pending.revision();
            promotions++;
        }
        if (pending != null && now >= pending.orderNanos()) {
            pending = null;
        }
        List<Daemon> able = running.stream().filter(this::reachesStore).toList();
        if (pending != null || able.isEmpty() || random.nextInt(20) != 0) {
            return;
        }
        Daemon daemon = able.get(random.nextInt(able.size()));
        List<Daemon> answering = running.stream()
                .filter(other -> other == daemon || (other.hasRead && reach(daemon, other)))
                .toList();
        answering.forEach(voter -> voter.votes.recordVote(GROUP, new StoreRevision(0, voter.promotion), now));
        Set<String> answered = answering.stream().map(voter -> voter.name).collect(Collectors.toSet());
        if (daemon.voters.mayDecide(answered, departed(daemon))) {
            promotionRevision = ++lastRevision;
            answering.forEach(voter -> voter.promotion = promotionRevision);
            pending = new Pending(daemon, promotionRevision, now + PromotionPermission.STOPPED_AFTER_NANOS);
        }
    }
}
