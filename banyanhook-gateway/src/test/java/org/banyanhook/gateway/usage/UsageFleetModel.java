package org.banyanhook.gateway.usage;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.banyanhook.core.usage.UsageSettings;
import org.banyanhook.daemon.peer.PeerMessageHandler;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.banyanhook.gateway.fleet.TextRecordCodec;
import org.banyanhook.gateway.operation.DecisionLog;
import org.banyanhook.gateway.operation.GatewayMetrics;
import org.banyanhook.gateway.operation.MonotonicClock;
import org.banyanhook.gateway.operation.PeriodicChecks;
import org.banyanhook.gateway.port.StoreLease;
import org.banyanhook.gateway.port.StoreRecord;
import org.banyanhook.gateway.port.UsageAuthority;
import org.banyanhook.protocol.generated.PeerEnvelope;
import org.jspecify.annotations.Nullable;

/**
 * A fleet that counts and reports in virtual time, with seeded faults of machines, links, clocks, store and platform.
 */
final class UsageFleetModel {

    static final UsageSettings SETTINGS = new UsageSettings(5_000, 0.05, 10_000, 3_000, 50);

    /** Calls that arrive within this time after their sender was thawed are not judged. */
    private static final long THAW_MILLIS = 300;

    private static final long START_MILLIS = 1_767_225_600_000L + 1_234;

    private final Random random;
    private final DecisionLog log;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
    private final ModelStore store = new ModelStore(this);
    private final Map<String, ModelDaemon> daemons = new TreeMap<>();
    private final Map<Long, Map<String, Long>> truth = new TreeMap<>();
    private final Map<Long, SortedMap<String, Long>> accepted = new TreeMap<>();
    private final Map<Long, Long> acceptedAtMillis = new HashMap<>();
    private final Map<Long, String> holdersByToken = new HashMap<>();
    private final List<PlatformCall> calls = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private double faults;
    private long nowMillis = START_MILLIS;
    private long eventNumber;

    private record Event(
            long atMillis, long number, @Nullable ModelDaemon daemon, int run, Runnable action) {}

    private record PlatformCall(long atMillis, String holder, long token) {}

    UsageFleetModel(long seed, int size, DecisionLog log) {
        this.random = new Random(seed);
        this.log = log;
        for (int index = 0; index < size; index++) {
            ModelDaemon daemon = new ModelDaemon("vm-" + index);
            daemons.put(daemon.name, daemon);
            store.write(TextRecordCodec.DAEMON_PREFIX + daemon.name, "east".getBytes(UTF_8), StoreLease.NONE);
        }
        daemons.values().forEach(ModelDaemon::start);
    }

    Random random() {
        return random;
    }

    long nowMillis() {
        return nowMillis;
    }

    /** Sets the probability of a fault in each message and call. */
    void faults(double probability) {
        faults = probability;
    }

    boolean fault() {
        return random.nextDouble() < faults;
    }

    List<String> violations() {
        return violations;
    }

    Map<Long, SortedMap<String, Long>> accepted() {
        return accepted;
    }

    long acceptedAtMillis(long window) {
        return acceptedAtMillis.getOrDefault(window, Long.MAX_VALUE);
    }

    Map<String, Long> truth(long window) {
        return truth.getOrDefault(window, Map.of());
    }

    /** Returns the daemon that holds the duty according to the store, or any if nobody does. */
    ModelDaemon holder() {
        byte[] holder = store.value(TextRecordCodec.USAGE_DUTY_KEY);
        ModelDaemon found = holder == null ? null : daemons.get(new String(holder, UTF_8));
        return found == null ? anyDaemon() : found;
    }

    ModelDaemon anyDaemon() {
        return ImmutableList.copyOf(daemons.values()).get(random.nextInt(daemons.size()));
    }

    ModelStore store() {
        return store;
    }

    /** Runs an action after a delay; one of a daemon only if it has not ended by then. */
    void after(long delayMillis, @Nullable ModelDaemon daemon, Runnable action) {
        int run = daemon == null ? 0 : daemon.run;
        events.add(new Event(nowMillis + delayMillis, ++eventNumber, daemon, run, action));
    }

    /** Sends a change of the store to all daemons, each after a delay of its own. */
    void publish(StoreRecord change) {
        daemons.values().forEach(daemon -> daemon.receiveChange(change, 5 + random.nextInt(100)));
    }

    void run(long millis) {
        long end = nowMillis + millis;
        while (!events.isEmpty() && events.peek().atMillis() <= end) {
            Event event = events.remove();
            nowMillis = Math.max(nowMillis, event.atMillis());
            ModelDaemon daemon = event.daemon();
            if (daemon != null && nowMillis < daemon.frozenUntilMillis) {
                events.add(new Event(daemon.frozenUntilMillis, event.number(), daemon, event.run(), event.action()));
            } else if (daemon == null || daemon.run == event.run()) {
                event.action().run();
            }
        }
        nowMillis = end;
    }

    private UsageAuthority.Result acceptReport(
            ModelDaemon daemon, long window, SortedMap<String, Long> counts, long token) {
        if (nowMillis >= daemon.frozenUntilMillis && nowMillis < daemon.frozenUntilMillis + THAW_MILLIS) {
            return UsageAuthority.Result.REFUSED;
        }
        String holder = daemon.name;
        if (!holdersByToken.computeIfAbsent(token, unused -> holder).equals(holder)) {
            violations.add("two holders with token " + token);
        }
        for (PlatformCall earlier : calls) {
            if (earlier.token() > token) {
                violations.add("token " + token + " of " + holder + " after " + earlier);
            }
        }
        checkAlternation(holder);
        calls.add(new PlatformCall(nowMillis, holder, token));
        SortedMap<String, Long> known = accepted.putIfAbsent(window, counts);
        acceptedAtMillis.putIfAbsent(window, nowMillis);
        if (known != null && !known.equals(counts)) {
            violations.add("window " + window + " reported as " + known + " and " + counts);
        }
        return UsageAuthority.Result.ACCEPTED;
    }

    private void checkAlternation(String holder) {
        boolean others = false;
        for (PlatformCall earlier : ImmutableList.copyOf(calls).reverse()) {
            if (nowMillis - earlier.atMillis() >= SETTINGS.leaseMillis()) {
                return;
            }
            others |= !earlier.holder().equals(holder);
            if (others && earlier.holder().equals(holder)) {
                violations.add(holder + " returned after another holder within the lease");
                return;
            }
        }
    }

    /** A machine with its clocks and one daemon, which may be started several times. */
    final class ModelDaemon implements PeerMessenger {
        private final String name;
        private final TextRecordCodec codec = new TextRecordCodec();
        private @Nullable PeerMessageHandler handler;
        private @Nullable UsageReporting reporting;
        private @Nullable FleetDirectory directory;
        private long frozenUntilMillis;
        private long cutUntilMillis;
        private long suspendedMillis;
        private long wallErrorMillis;
        private int run;
        private boolean failsRequests;

        private ModelDaemon(String name) {
            this.name = name;
        }

        String name() {
            return name;
        }

        private long steadyNanos() {
            return TimeUnit.MILLISECONDS.toNanos(nowMillis - START_MILLIS - suspendedMillis);
        }

        void start() {
            run++;
            MonotonicClock clock = new MonotonicClock(this::steadyNanos, () -> nowMillis + wallErrorMillis);
            FleetDirectory newDirectory = new FleetDirectory(codec, log, clock);
            directory = newDirectory;
            newDirectory.apply(store.all());
            UsageReporting started = new UsageReporting(new UsageReporting.Context(
                    name,
                    SETTINGS,
                    store.clientOf(this),
                    codec,
                    this::report,
                    this,
                    newDirectory,
                    Runnable::run,
                    clock,
                    () -> nowMillis + wallErrorMillis,
                    random::nextDouble,
                    log,
                    new GatewayMetrics()));
            reporting = started;
            tickIn(random.nextInt(500), started);
            serveIn(random.nextInt(100), started.meter());
        }

        /** Ends the process; its last messages and calls may still arrive. */
        void kill() {
            run++;
            handler = null;
            reporting = null;
            directory = null;
            store.remove(TextRecordCodec.DAEMON_PREFIX + name, 4_000);
        }

        void restartAfter(long millis) {
            after(millis, null, () -> {
                store.write(TextRecordCodec.DAEMON_PREFIX + name, "east".getBytes(UTF_8), StoreLease.NONE);
                start();
            });
        }

        /** Stops the daemon as for a planned stop. */
        void stopPlanned() {
            UsageReporting stopping = reporting;
            if (stopping != null) {
                var unused = stopping.giveUpDuty();
                after(1_500, this, () -> {
                    var sent = stopping.finish();
                    kill();
                });
            }
        }

        void freeze(long millis) {
            frozenUntilMillis = nowMillis + millis;
        }

        /** Freezes the machine, whose monotonic clock does not count the time. */
        void suspend(long millis) {
            freeze(millis);
            after(millis, null, () -> suspendedMillis += millis);
        }

        void stepClock(long millis) {
            wallErrorMillis += millis;
        }

        /** Cuts the machine off from the store and from the other daemons. */
        void cutOff(long millis) {
            cutUntilMillis = nowMillis + millis;
        }

        /** Makes each message to another daemon throw an exception. */
        void failRequests() {
            failsRequests = true;
        }

        boolean isCutOff() {
            return nowMillis < cutUntilMillis;
        }

        private void receiveChange(StoreRecord change, long delayMillis) {
            after(Math.max(delayMillis, cutUntilMillis - nowMillis), this, () -> {
                FleetDirectory current = directory;
                if (current != null) {
                    current.apply(change);
                }
            });
        }

        private void tickIn(long millis, UsageReporting ticking) {
            // As in the gateway, an exception does not end the periodic calls.
            PeriodicChecks checks = new PeriodicChecks(List.of(ticking::tick), log);
            after(millis, this, () -> {
                checks.perform();
                tickIn(500, ticking);
            });
        }

        private void serveIn(long millis, UsageMeter meter) {
            after(millis, this, () -> {
                String account = "account-" + random.nextInt(3);
                long window = Math.floorDiv(nowMillis, SETTINGS.windowMillis());
                boolean refused = random.nextInt(20) == 0;
                long counted = meter.recordSent(account);
                if (!refused) {
                    truth.computeIfAbsent(window, unused -> new TreeMap<>()).merge(account, 1L, Long::sum);
                }
                after(10 + random.nextInt(300), this, () -> {
                    if (refused) {
                        meter.recordRefused(counted, account);
                    } else {
                        meter.recordRan(counted, account);
                    }
                });
                serveIn(100, meter);
            });
        }

        private CompletableFuture<UsageAuthority.Result> report(
                long window, SortedMap<String, Long> counts, String holder, long token) {
            CompletableFuture<UsageAuthority.Result> answer = new CompletableFuture<>();
            boolean lost = fault();
            boolean answerLost = fault();
            long delay = 2 + random.nextInt(fault() ? 1_000 : 30);
            after(delay, null, () -> {
                boolean refused = lost || fault();
                UsageAuthority.Result result =
                        refused ? UsageAuthority.Result.REFUSED : acceptReport(this, window, counts, token);
                after(answerLost || lost ? 1_000 : 5, this, () -> {
                    answer.complete(answerLost || lost ? UsageAuthority.Result.NO_ANSWER : result);
                });
            });
            return answer;
        }

        @Override
        public CompletableFuture<PeerEnvelope> request(String address, PeerEnvelope body, Duration timeout) {
            if (failsRequests) {
                throw new IllegalStateException("expected by the test");
            }
            CompletableFuture<PeerEnvelope> answer = new CompletableFuture<>();
            ModelDaemon peer = daemons.get(address);
            PeerEnvelope sent = body.toBuilder().setSenderEntryVm(name).build();
            for (int copy = fault() ? 2 : 1; copy > 0 && peer != null; copy--) {
                if (!fault() && !isCutOff() && !peer.isCutOff()) {
                    after(1 + random.nextInt(fault() ? 1_500 : 20), peer, () -> peer.receive(sent, this, answer));
                }
            }
            after(timeout.toMillis(), this, () -> answer.completeExceptionally(new TimeoutException("no reply")));
            return answer;
        }

        private void receive(PeerEnvelope message, ModelDaemon sender, CompletableFuture<PeerEnvelope> answer) {
            PeerMessageHandler current = handler;
            if (current != null) {
                current.handle(message).thenAccept(reply -> {
                    if (!fault()) {
                        after(1 + random.nextInt(20), sender, () -> answer.complete(reply));
                    }
                });
            }
        }

        @Override
        public void send(String address, PeerEnvelope body) {
            throw new UnsupportedOperationException("counts are sent as requests");
        }

        @Override
        public void registerHandler(PeerEnvelope.BodyCase kind, PeerMessageHandler newHandler) {
            handler = newHandler;
        }
    }
}
