package org.banyanhook.gateway.home;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.configuration.GroupLimits;
import org.banyanhook.core.routing.ConnectionShare;
import org.banyanhook.core.routing.MemberHomes;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.gateway.backend.ConnectionRequest;
import org.banyanhook.gateway.backend.HomeConnector;
import org.banyanhook.gateway.backend.MemberServer;
import org.banyanhook.gateway.backend.MemberTransport;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.fleet.FleetDirectory.MemberRecord;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.port.DaemonEntry;
import org.banyanhook.gateway.port.MemberEntry;
import org.banyanhook.protocol.generated.HomeCommands;
import org.jspecify.annotations.Nullable;

/**
 * The homes of all members, as far as this daemon knows the fleet. In force where the fleet has more daemons than a
 * member accepts connections. Confined to the event loop.
 */
public final class ConnectionHomes implements HomeConnector {

    private final String entryVm;
    private final long incarnation;
    private final PeerMessenger messenger;
    private final FleetDirectory directory;
    private final EventLoop eventLoop;
    private final MonotonicClock clock;
    private final Map<String, HomeLink> links = new HashMap<>();
    private final Map<String, List<String>> homesByMember = new HashMap<>();
    private final Map<String, List<String>> homesByAccount = new HashMap<>();
    private long lastLease;
    private boolean linksOpened;
    private Map<String, DaemonEntry> knownDaemons = Map.of();

    /**
     * Creates the view of a daemon.
     *
     * @param entryVm the daemon
     * @param incarnation distinguishes the runs of the daemon
     * @param messenger sends commands to homes
     * @param directory lists the daemons
     * @param eventLoop the event loop on which everything runs
     * @param clock the monotonic clock
     */
    public ConnectionHomes(
            String entryVm,
            long incarnation,
            PeerMessenger messenger,
            FleetDirectory directory,
            EventLoop eventLoop,
            MonotonicClock clock) {
        this.entryVm = entryVm;
        this.incarnation = incarnation;
        this.messenger = messenger;
        this.directory = directory;
        this.eventLoop = eventLoop;
        this.clock = clock;
        directory.addListener(this::onFleetChange);
    }

    /** Forgets the homes of a former list of daemons; changes of daemons alone are not notified. */
    @SuppressWarnings("ReferenceEquality") // each list is a new immutable map
    private void refresh() {
        if (directory.daemons() != knownDaemons) {
            onFleetChange();
        }
    }

    private void onFleetChange() {
        knownDaemons = directory.daemons();
        homesByMember.clear();
        homesByAccount.clear();
        linksOpened = false;
        if (links.size() > directory.daemons().size()) {
            links.keySet()
                    .retainAll(directory.daemons().values().stream()
                            .map(DaemonEntry::peerAddress)
                            .toList());
        }
    }

    /**
     * Opens the link to one home that has never answered, so that the first statements do not wait for it. To be called
     * periodically; a daemon of a large fleet has dozens of such links.
     */
    public void tick() {
        refresh();
        if (linksOpened) {
            return;
        }
        for (MemberRecord member : directory.members()) {
            if (connectionLimit(member.entry()) == 0) {
                continue;
            }
            for (String home : homes(member.entry())) {
                DaemonEntry entry = directory.daemons().get(home);
                HomeLink link = entry == null || home.equals(entryVm) ? null : link(entry.peerAddress());
                if (link != null && link.isUnknown() && link.probeIfSilent()) {
                    return;
                }
            }
        }
        linksOpened = true;
    }

    @Override
    public OptionalInt ownShare(MemberServer server) {
        int limit = connectionLimit(server.entry());
        if (limit == 0) {
            return OptionalInt.empty();
        }
        refresh();
        List<String> homes = homes(server.entry());
        if (homes.isEmpty()) {
            return OptionalInt.empty();
        }
        return OptionalInt.of(homes.contains(entryVm) ? ConnectionShare.perHome(limit, homes.size()) : 0);
    }

    @Override
    public boolean isReachable(MemberServer server, String account) {
        return findHome(server, account) != null;
    }

    @Override
    public Optional<MemberTransport> connect(
            MemberServer server, ConnectionRequest request, boolean primary, MemberTransport.Receiver receiver) {
        HomeLink link = findHome(server, request.account());
        if (link == null) {
            return Optional.empty();
        }
        HomeCommands terms = HomeCommands.newBuilder()
                .setIncarnation(incarnation)
                .setLease(++lastLease)
                .setDatabase(server.entry().group())
                .setMember(server.name())
                .setClientAccount(request.account())
                .setWeight(request.weight())
                .setPrimary(primary)
                .setPriority(request.priority())
                .setTargetLatencyMillis(TimeUnit.NANOSECONDS.toMillis(request.targetLatencyNanos()))
                .build();
        return Optional.of(new HomeTransport(link, terms, request.deadlineNanos(), receiver, eventLoop, clock));
    }

    /** Returns the link to the first home of an account that can be reached, or null if this daemon precedes it. */
    private @Nullable HomeLink findHome(MemberServer server, String account) {
        if (connectionLimit(server.entry()) == 0) {
            return null;
        }
        refresh();
        List<String> ordered = homesByAccount.computeIfAbsent(
                server.name() + '\n' + account,
                key -> MemberHomes.forAccount(homes(server.entry()), server.name(), account));
        for (String home : ordered) {
            if (home.equals(entryVm)) {
                return null;
            }
            DaemonEntry entry = directory.daemons().get(home);
            HomeLink link = entry == null ? null : link(entry.peerAddress());
            if (link != null && link.isUsable(server.name())) {
                return link;
            }
        }
        return null;
    }

    private HomeLink link(String address) {
        return links.computeIfAbsent(address, key -> new HomeLink(key, messenger, eventLoop, clock));
    }

    private List<String> homes(MemberEntry server) {
        return homesByMember.computeIfAbsent(
                server.member(),
                member -> MemberHomes.choose(
                        member,
                        directory.daemons().values().stream()
                                .filter(daemon -> daemon.failureDomain().equals(server.failureDomain()))
                                .map(DaemonEntry::entryVm)
                                .toList()));
    }

    /** Returns the connection limit of a member, or 0 if it has no homes because the fleet is small. */
    private int connectionLimit(MemberEntry server) {
        GroupLimits limits = directory.configuration().groups().get(server.group());
        if (limits == null
                || !ConnectionShare.fleetExceedsLimit(limits.connectionLimit(), directory.daemonsSharingLimits())) {
            return 0;
        }
        return limits.connectionLimit();
    }
}
