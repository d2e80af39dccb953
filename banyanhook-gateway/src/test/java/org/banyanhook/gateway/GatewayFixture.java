package org.banyanhook.gateway;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.banyanhook.core.admission.ClientLimits;
import org.banyanhook.core.configuration.ClientAccount;
import org.banyanhook.core.configuration.DatabaseRoute;
import org.banyanhook.core.configuration.GrantedKey;
import org.banyanhook.core.configuration.GroupLimits;
import org.banyanhook.core.configuration.ReadFreshness;
import org.banyanhook.core.configuration.SessionConfiguration;
import org.banyanhook.core.execution.ShutdownSchedule;
import org.banyanhook.core.key.KeyHashes;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.core.store.StoreRevision;
import org.banyanhook.gateway.backend.DatabaseGroup;
import org.banyanhook.gateway.backend.DatabaseGroups;
import org.banyanhook.gateway.backend.GroupContext;
import org.banyanhook.gateway.backend.HomeConnector;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.fleet.TextRecordCodec;
import org.banyanhook.gateway.message.ClientRequest;
import org.banyanhook.gateway.message.MemberAnswer;
import org.banyanhook.gateway.message.MemberReport;
import org.banyanhook.gateway.message.SessionStatement;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.GatewayMetrics;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.port.ClientInput;
import org.banyanhook.gateway.port.FleetRecord;
import org.banyanhook.gateway.port.MemberEntry;
import org.banyanhook.gateway.port.SessionCodec;
import org.banyanhook.gateway.port.StoreLease;
import org.banyanhook.gateway.port.StoreRecord;
import org.banyanhook.gateway.rate.AccountRateLimiter;
import org.banyanhook.gateway.session.ClientConnection;
import org.banyanhook.gateway.session.ClientConnections;
import org.banyanhook.gateway.session.Session;
import org.banyanhook.gateway.session.SessionContext;
import org.banyanhook.gateway.session.SessionRegistry;

/** A gateway without sockets: sessions and members are embedded channels, and time is set by the test. */
public final class GatewayFixture implements AutoCloseable {

    /** The database group. */
    public static final String GROUP = "orders";

    /** A database whose reads have to be current. */
    public static final String DATABASE = "orders-current";

    /** A database that only callers with a granted key may use. */
    public static final String PRIVATE_DATABASE = "orders-private";

    public static final long STATEMENT_TIMEOUT_MILLIS = 1_000;

    public static final long GRACE_MILLIS = 6_000;

    public static final long EVACUATION_LIMIT_MILLIS = 5_000;

    /** Limits of a machine with 330 MB and a heap of 160 MB. */
    public static final ClientLimits CLIENT_LIMITS =
            ClientLimits.builder(330_000_000, 160 << 20, 4_300).build();

    private static final int CONNECTION_LIMIT = 6;
    private static final InetSocketAddress UNUSED = InetSocketAddress.createUnresolved("unused", 1);

    private final EmbeddedChannel timers = new EmbeddedChannel();
    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private final Map<String, ScriptedMember> members = new HashMap<>();
    private final DecisionLog log;
    private final MonotonicClock clock;
    private final FleetDirectory directory;
    private final GroupContext groupContext;
    private final DatabaseGroups groups;
    private final AccountRateLimiter rateLimiter;
    private final SessionContext sessionContext;
    private final SessionRegistry registry = new SessionRegistry();
    private final ClientConnections clientConnections;
    private final TextRecordCodec recordCodec = new TextRecordCodec();
    private final RecordedUsage usage = new RecordedUsage();
    private long nowNanos = TimeUnit.SECONDS.toNanos(100);
    private long suspendedMillis;
    private long revision = 10;
    private long configurationVersion;
    private int synchronousReplicas;
    private boolean inContact = true;

    /** Creates what connects a gateway to the homes of members. */
    @FunctionalInterface
    public interface HomeFactory {
        /** Creates the view of a gateway. */
        HomeConnector create(FleetDirectory directory, EventLoop eventLoop, MonotonicClock clock);
    }

    /** Creates a gateway that knows a configuration and no members. */
    public GatewayFixture() {
        this("vm", (fleet, loop, time) -> HomeConnector.NONE);
    }

    /** Creates a gateway that has read nothing from the store yet. */
    public static GatewayFixture withoutConfiguration() {
        return new GatewayFixture("vm", (fleet, loop, time) -> HomeConnector.NONE, false);
    }

    /**
     * Creates a gateway that knows a configuration and no members.
     *
     * @param entryVm its name
     * @param homes connects it to the homes of members
     */
    public GatewayFixture(String entryVm, HomeFactory homes) {
        this(entryVm, homes, true);
    }

    private GatewayFixture(String entryVm, HomeFactory homes, boolean configured) {
        log = new DecisionLog(entryVm, logged, () -> nowNanos);
        clock = new MonotonicClock(() -> nowNanos, () -> TimeUnit.NANOSECONDS.toMillis(nowNanos) + suspendedMillis);
        directory = new FleetDirectory(recordCodec, log, clock);
        GatewayMetrics metrics = new GatewayMetrics();
        GatewaySettings settings = new GatewaySettings(
                entryVm,
                "east",
                Map.of(),
                UNUSED,
                UNUSED,
                UNUSED,
                UNUSED,
                UNUSED,
                UNUSED,
                GRACE_MILLIS,
                EVACUATION_LIMIT_MILLIS,
                CLIENT_LIMITS);
        groupContext = new GroupContext(
                settings,
                directory,
                eventLoop(),
                group -> inContact,
                new ReportCodec(),
                (address, timeoutMillis, handler, onFailure) ->
                        member(address.getHostString()).connect(handler, onFailure),
                homes.create(directory, eventLoop(), clock),
                clock,
                log,
                metrics);
        groups = new DatabaseGroups(groupContext);
        directory.addListener(groups);
        rateLimiter = new AccountRateLimiter(
                entryVm,
                "east",
                settings::regionOf,
                directory,
                (request, timeout, listener) -> listener.onTransfer(0, 0),
                (task, delayNanos) -> eventLoop().schedule(task, delayNanos, TimeUnit.NANOSECONDS),
                clock,
                log,
                metrics);
        sessionContext = new SessionContext(
                settings, directory, groups, rateLimiter, group -> inContact, eventLoop(), clock, log, metrics, usage);
        clientConnections = new ClientConnections(CLIENT_LIMITS, clock, log, metrics);
        if (configured) {
            grantKeys();
        }
    }

    /** Applies a new configuration in which the account has these keys and no others. */
    public void grantKeys(String... keys) {
        apply("config", new FleetRecord.Configuration(configuration(++configurationVersion, List.of(keys))));
    }

    /** Applies a new configuration in which so many replicas receive a commit before it is acknowledged. */
    public void configureSynchronousReplicas(int value) {
        synchronousReplicas = value;
        grantKeys();
    }

    private SessionConfiguration configuration(long version, List<String> keys) {
        List<GrantedKey> granted = keys.stream()
                .map(key -> new GrantedKey(key, KeyHashes.hash(key)))
                .toList();
        return new SessionConfiguration(
                version,
                List.of(new ClientAccount("account", granted, 100, 100, 1)),
                Map.of(),
                Map.of(DATABASE, route(DATABASE, true), PRIVATE_DATABASE, route(PRIVATE_DATABASE, false)),
                Map.of(GROUP, new GroupLimits(GROUP, CONNECTION_LIMIT, 0, synchronousReplicas)),
                TimeUnit.SECONDS.toMillis(10));
    }

    private static DatabaseRoute route(String database, boolean openToAll) {
        return new DatabaseRoute(
                database, GROUP, ReadFreshness.CURRENT, 0, STATEMENT_TIMEOUT_MILLIS, 100, 0, openToAll, Set.of());
    }

    public EventLoop eventLoop() {
        return timers.eventLoop();
    }

    public MonotonicClock clock() {
        return clock;
    }

    public DecisionLog log() {
        return log;
    }

    public FleetDirectory directory() {
        return directory;
    }

    public GroupContext groupContext() {
        return groupContext;
    }

    public DatabaseGroups groups() {
        return groups;
    }

    public DatabaseGroup group() {
        return groups.group(GROUP);
    }

    public TextRecordCodec recordCodec() {
        return recordCodec;
    }

    public SessionRegistry registry() {
        return registry;
    }

    /** Returns the client connections. */
    public ClientConnections clientConnections() {
        return clientConnections;
    }

    public long nowNanos() {
        return nowNanos;
    }

    /** Lists this daemon as the only one. */
    public void listDaemon() {
        directory.apply(
                new StoreRecord(recordCodec.daemonKey("vm"), nextRevision(), "east".getBytes(UTF_8), StoreLease.NONE));
    }

    /** Lists a daemon of a failure domain; its address is its name. */
    public void listDaemon(String entryVm, String failureDomain) {
        directory.apply(new StoreRecord(
                recordCodec.daemonKey(entryVm), nextRevision(), failureDomain.getBytes(UTF_8), StoreLease.NONE));
    }

    /** Removes the entry of a daemon from the store. */
    public void listDaemonGone(String entryVm) {
        directory.apply(new StoreRecord(recordCodec.daemonKey(entryVm), nextRevision(), null, StoreLease.NONE));
    }

    /** Lists this daemon as the only one, and lets time pass until accounts have tokens. */
    public void accrueTokens() {
        listDaemon();
        rateLimiter.tick();
        advanceMillis(1_000);
    }

    /** Returns the schedule of a stop that begins now. */
    public ShutdownSchedule shutdownSchedule() {
        return ShutdownSchedule.startingAt(nowNanos, GRACE_MILLIS);
    }

    /** Sets whether this daemon would learn of the replacement of a primary. */
    public void inContact(boolean value) {
        inContact = value;
    }

    /** Returns the stand-in of a member. */
    public ScriptedMember member(String name) {
        return members.computeIfAbsent(name, ScriptedMember::new);
    }

    /** Uses the stand-in of a member that another gateway uses too. */
    public void share(ScriptedMember member) {
        members.put(member.name(), member);
    }

    private StoreRevision nextRevision() {
        revision++;
        return new StoreRevision(0, revision);
    }

    /** Lists a member in the store. */
    public ScriptedMember list(String name, boolean primary) {
        return listIn("east", name, primary);
    }

    /** Lists a member of a failure domain in the store. */
    public ScriptedMember listIn(String failureDomain, String name, boolean primary) {
        apply("members/" + name, new FleetRecord.Member(entry(failureDomain, name, primary, false)));
        return member(name);
    }

    /** Lists a member as leaving. */
    public void listLeaving(String name, boolean primary) {
        apply("members/" + name, new FleetRecord.Member(entry("east", name, primary, true)));
    }

    /** Lists a replica that has started again under its name. */
    public void listRestarted(String name, long startedAtMillis) {
        apply("members/" + name, new FleetRecord.Member(entry("east", name, false, false, startedAtMillis)));
    }

    private static MemberEntry entry(String failureDomain, String name, boolean primary, boolean leaving) {
        return entry(failureDomain, name, primary, leaving, 1);
    }

    private static MemberEntry entry(
            String failureDomain, String name, boolean primary, boolean leaving, long startedAtMillis) {
        return new MemberEntry(
                name,
                GROUP,
                InetSocketAddress.createUnresolved(name, 1),
                failureDomain,
                2,
                leaving,
                primary,
                0,
                startedAtMillis);
    }

    /** Records that operators take a failure domain out. */
    public void takeOut(String failureDomain) {
        directory.apply(new StoreRecord(
                TextRecordCodec.EVACUATION_PREFIX + failureDomain, nextRevision(), new byte[0], StoreLease.NONE));
    }

    /** Removes the entry of a member from the store. */
    public void listGone(String name) {
        directory.apply(new StoreRecord("members/" + name, nextRevision(), null, StoreLease.NONE));
    }

    /** Records the promotion of a member in the store. */
    public void recordPromotion(String member) {
        directory.applyPromotion(new FleetRecord.Promotion(GROUP, member), nextRevision());
    }

    /** Reads the promotion record of the group from the store. */
    public void readPromotion(String text, StoreRevision revision) {
        directory.apply(
                new StoreRecord(recordCodec.promotionKey(GROUP), revision, text.getBytes(UTF_8), StoreLease.NONE));
    }

    private void apply(String key, FleetRecord record) {
        recordCodec.prepare(key, record);
        directory.apply(new StoreRecord(key, nextRevision(), new byte[0], StoreLease.NONE));
    }

    /** Opens a session to the database that is open to all. */
    public EmbeddedChannel openSession() {
        return openSession(DATABASE, "");
    }

    /** Opens a session to a database with a key. */
    public EmbeddedChannel openSession(String database, String key) {
        EmbeddedChannel session = new EmbeddedChannel(newSession());
        session.writeInbound(new ClientRequest.Open(database, key));
        session.readOutbound();
        return session;
    }

    /** Returns the handler of a session that the caller has not opened yet. */
    public Session newSession() {
        return new Session(sessionContext, registry, clientConnections.newConnection());
    }

    /** Grants the tokens that have accrued to requests that wait for one. */
    public void grantAccruedTokens() {
        rateLimiter.tick();
    }

    /** Creates a session that the caller has not opened yet, behind a handler of the test. */
    public EmbeddedChannel connectSession(ChannelHandler first) {
        return new EmbeddedChannel(first, newSession());
    }

    /** Creates a session that the caller has not opened yet, with the charges of its connection. */
    public EmbeddedChannel connectSession(ClientConnection input) {
        return new EmbeddedChannel(new Session(sessionContext, registry, input));
    }

    /** Returns the metrics. */
    public GatewayMetrics metrics() {
        return groupContext.metrics();
    }

    /** Sends a statement in a session. */
    public static void send(EmbeddedChannel session, String id, SessionStatement statement) {
        session.writeInbound(new ClientRequest.Run(id, statement));
    }

    /** Lets time pass, and runs what is due. */
    public void advanceMillis(long millis) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
        timers.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        timers.runPendingTasks();
    }

    /** Stops the process for a while: time passes, but nothing that is due runs. */
    public void freezeMillis(long millis) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Suspends the machine, whose monotonic clock does not count the time. */
    public void suspendMillis(long millis) {
        suspendedMillis += millis;
    }

    /** Returns what the sessions have counted. */
    public RecordedUsage usage() {
        return usage;
    }

    /** Returns what has been logged. */
    public String logged() {
        log.flush();
        log.close();
        return logged.toString(UTF_8);
    }

    @Override
    public void close() {
        log.close();
    }

    /** Reads "primary TERM POSITION" or "replica TERM POSITION" from the only row. */
    static final class ReportCodec implements SessionCodec {

        @Override
        public ChannelHandler newClientCodec(ClientInput input) {
            throw new UnsupportedOperationException("sessions are embedded");
        }

        @Override
        public ChannelHandler newMemberCodec() {
            throw new UnsupportedOperationException("members are embedded");
        }

        @Override
        public Optional<MemberReport> report(MemberAnswer answer) {
            if (answer.error() != null) {
                return Optional.empty();
            }
            List<String> fields = new ArrayList<>(List.of(answer.rows().get(0).split(" ")));
            return Optional.of(new MemberReport(
                    fields.get(0).equals("primary"),
                    Long.parseLong(fields.get(1)),
                    new LogPosition(Long.parseLong(fields.get(2)), Long.parseLong(fields.get(3)))));
        }
    }
}
