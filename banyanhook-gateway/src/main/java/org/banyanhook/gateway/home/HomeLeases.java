package org.banyanhook.gateway.home;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.gateway.backend.DatabaseGroup;
import org.banyanhook.gateway.backend.DatabaseGroups;
import org.banyanhook.gateway.backend.MemberServer;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.message.SessionError;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.GatewayMetrics;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.primary.PrimaryAccessPolicy;
import org.banyanhook.protocol.generated.Acknowledgement;
import org.banyanhook.protocol.generated.HomeAnswers;
import org.banyanhook.protocol.generated.HomeCommand;
import org.banyanhook.protocol.generated.HomeCommands;
import org.banyanhook.protocol.generated.LinkProbeAnswer;
import org.banyanhook.protocol.generated.PeerEnvelope;

/** Runs the commands of other daemons on connections that this daemon keeps. Confined to the event loop. */
public final class HomeLeases {

    /** A transaction whose daemon has left the fleet is rolled back after this time; its end may still arrive. */
    private static final long LOST_SENDER_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** How much later than the daemon of the caller a home rolls back an idle transaction. */
    private static final long IDLE_MARGIN_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Exceeds how long the daemon of the caller waits for an answer, after which it has ended the lease. */
    private static final long UNANSWERED_LIMIT_NANOS =
            HomeTransport.ANSWER_TIMEOUT.plusSeconds(1).toNanos();

    private final Context context;
    private final DatabaseGroups groups;
    private final FleetDirectory directory;
    private final DecisionLog log;
    private final Map<LeaseKey, HomeLease> leases = new HashMap<>();
    private long incarnation;
    private boolean draining;

    private record LeaseKey(String sender, long incarnation, long lease) {}

    /**
     * What all leases share.
     *
     * @param incarnation distinguishes the runs of this daemon, and the readings of its clock before and after a
     *     suspension
     * @param directory tells which failure domains are taken out
     * @param primaryAccess decides whether primaries may be used
     * @param eventLoop the event loop on which everything runs
     * @param clock the monotonic clock
     * @param metrics counts the commands
     */
    record Context(
            LongSupplier incarnation,
            FleetDirectory directory,
            PrimaryAccessPolicy primaryAccess,
            EventLoop eventLoop,
            MonotonicClock clock,
            GatewayMetrics metrics) {

        /** Returns why this daemon cannot use a member for commands, or an empty text. */
        String unusable(DatabaseGroup group, HomeCommands commands) {
            MemberServer server = group.server(commands.getMember()).orElse(null);
            if (server == null || !server.acceptsRequests()) {
                return "the member accepts no requests";
            }
            if (directory.isEvacuated(server.entry().failureDomain())) {
                return "the failure domain of the member is taken out";
            }
            if (server.unreachableNanos(clock.nowNanos()) >= 0) {
                return "the member could not be reached";
            }
            boolean isPrimary = group.primary().filter(server::equals).isPresent();
            return commands.getPrimary() && !(isPrimary && primaryAccess.mayUsePrimary(group.name()))
                    ? "the member is not known to be the primary"
                    : "";
        }

        HomeAnswers.Builder newAnswers() {
            long now = clock.nowNanos();
            return HomeAnswers.newBuilder()
                    .setIncarnation(incarnation.getAsLong())
                    .setClockNanos(now);
        }

        /** Returns the answer that nothing was sent to the member. */
        HomeAnswers refused(String detail) {
            return newAnswers().setRefused(true).setDetail(detail).build();
        }

        /** Returns the answers to commands of a transaction that has been rolled back. */
        HomeAnswers aborted(HomeCommands commands, String detail) {
            HomeAnswers.Builder answers = newAnswers();
            for (HomeCommand command : commands.getCommandsList()) {
                boolean rollback = command.getKind() == HomeCommand.Kind.ROLLBACK;
                answers.addAnswers(HomeMessages.toMessage(
                        HomeMessages.ownAnswer(rollback ? null : SessionError.TRANSACTION_ABORTED, detail)));
            }
            return answers.build();
        }
    }

    /**
     * Creates an instance without leases.
     *
     * @param incarnation distinguishes the runs of this daemon
     * @param groups the members
     * @param directory lists the daemons
     * @param primaryAccess decides whether primaries may be used
     * @param eventLoop the event loop on which everything runs
     * @param clock the monotonic clock
     * @param log receives a line for each transaction that is rolled back for its daemon
     * @param metrics counts the commands
     */
    public HomeLeases(
            long incarnation,
            DatabaseGroups groups,
            FleetDirectory directory,
            PrimaryAccessPolicy primaryAccess,
            EventLoop eventLoop,
            MonotonicClock clock,
            DecisionLog log,
            GatewayMetrics metrics) {
        this.context = new Context(() -> this.incarnation, directory, primaryAccess, eventLoop, clock, metrics);
        this.incarnation = incarnation;
        this.groups = groups;
        this.directory = directory;
        this.log = log;
        // The clock does not count a suspension, so deadlines on its former readings are too late.
        clock.addJumpListener(() -> this.incarnation++);
    }

    /** Starts to receive the commands of other daemons. */
    public void serve(PeerMessenger messenger) {
        messenger.registerHandler(PeerEnvelope.BodyCase.LINK_PROBE, message -> onEventLoop(this::answerProbe));
        messenger.registerHandler(
                PeerEnvelope.BodyCase.HOME_COMMANDS,
                message -> CompletableFuture.supplyAsync(
                                () -> run(message.getSenderEntryVm(), message.getHomeCommands()), context.eventLoop())
                        .thenCompose(answers -> answers)
                        .thenApply(answers -> PeerEnvelope.newBuilder()
                                .setHomeAnswers(answers)
                                .build()));
        messenger.registerHandler(
                PeerEnvelope.BodyCase.HOME_LEASE_END,
                message -> onEventLoop(() -> {
                    end(
                            new LeaseKey(
                                    message.getSenderEntryVm(),
                                    message.getHomeLeaseEnd().getIncarnation(),
                                    message.getHomeLeaseEnd().getLease()),
                            "the other daemon does not use the connection any more");
                    return PeerEnvelope.newBuilder()
                            .setAcknowledgement(Acknowledgement.getDefaultInstance())
                            .build();
                }));
    }

    private PeerEnvelope answerProbe() {
        // The clock is read first, since it notices a suspension.
        long now = context.clock().nowNanos();
        return PeerEnvelope.newBuilder()
                .setLinkProbeAnswer(
                        LinkProbeAnswer.newBuilder().setIncarnation(incarnation).setClockNanos(now))
                .build();
    }

    private CompletableFuture<PeerEnvelope> onEventLoop(Supplier<PeerEnvelope> reply) {
        return CompletableFuture.supplyAsync(reply, context.eventLoop());
    }

    /**
     * Runs commands.
     *
     * @param sender the daemon that sent them
     * @param commands the commands
     * @return the answers
     */
    CompletableFuture<HomeAnswers> run(String sender, HomeCommands commands) {
        LeaseKey key = new LeaseKey(sender, commands.getIncarnation(), commands.getLease());
        CompletableFuture<HomeAnswers> reply = new CompletableFuture<>();
        HomeLease known = leases.get(key);
        if (!commands.getFirst()) {
            if (known == null) {
                reply.complete(context.aborted(commands, "the home has ended the transaction"));
            } else {
                known.run(commands, reply);
            }
            return reply;
        }
        String refusal = refusal(commands);
        if (!refusal.isEmpty() || known != null) {
            reply.complete(context.refused(refusal));
            return reply;
        }
        HomeLease lease = new HomeLease(
                context,
                groups.group(commands.getDatabase()),
                commands,
                commands.getDeadlineNanos(),
                reply,
                () -> leases.remove(key));
        leases.put(key, lease);
        var unused = lease.recordSender(isListed(sender));
        lease.acquire();
        return reply;
    }

    private boolean isListed(String sender) {
        return directory.daemons().containsKey(sender);
    }

    /** Returns why new work is not accepted, or an empty text. */
    private String refusal(HomeCommands commands) {
        long now = context.clock().nowNanos();
        if (draining) {
            return "this daemon is being stopped";
        }
        if (commands.getHomeIncarnation() != incarnation || now - commands.getDeadlineNanos() >= 0) {
            return "the commands arrived too late";
        }
        Optional<DatabaseGroup> group = groups.all().stream()
                .filter(candidate -> candidate.name().equals(commands.getDatabase()))
                .findFirst();
        return group.map(found -> context.unusable(found, commands)).orElse("the group is not known here");
    }

    private void end(LeaseKey key, String reason) {
        HomeLease lease = leases.get(key);
        if (lease != null) {
            lease.end(reason);
        }
    }

    /** Refuses what waits for a member that cannot be used, and ends transactions whose daemons do not end them. */
    public void tick() {
        long now = context.clock().nowNanos();
        long idleLimit = TimeUnit.MILLISECONDS.toNanos(directory.configuration().idleTransactionTimeoutMillis())
                + IDLE_MARGIN_NANOS;
        for (Map.Entry<LeaseKey, HomeLease> entry : List.copyOf(leases.entrySet())) {
            HomeLease lease = entry.getValue();
            lease.refuseIfUnusable();
            long silent = lease.silentNanos(now);
            long limit = lease.isUnanswered() ? Math.max(idleLimit, UNANSWERED_LIMIT_NANOS) : idleLimit;
            boolean senderLost = lease.recordSender(isListed(entry.getKey().sender())) && silent >= LOST_SENDER_NANOS;
            if (silent >= limit || senderLost) {
                log.line("home-transaction")
                        .with("from", entry.getKey().sender())
                        .with("change", lease.isUnanswered() ? "closed" : "rolled-back")
                        .with("reason", senderLost ? "the daemon has left the fleet" : "silent")
                        .write();
                lease.end("the other daemon has not ended its work");
            }
        }
    }

    /** Refuses new work, because the process ends; what is in progress goes on. */
    public void drain() {
        draining = true;
    }

    /** Returns whether work of other daemons is in progress. */
    public boolean isActive() {
        return !leases.isEmpty();
    }

    /** Ends all work of other daemons, because the process ends. */
    public void conclude() {
        List.copyOf(leases.values()).forEach(lease -> lease.end("this daemon is being stopped"));
    }
}
