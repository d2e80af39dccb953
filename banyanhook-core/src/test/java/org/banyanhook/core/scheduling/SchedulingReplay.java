package org.banyanhook.core.scheduling;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.banyanhook.core.admission.PriorityFairQueue;
import org.banyanhook.core.admission.PriorityFairQueue.Waiting;
import org.banyanhook.core.admission.ServiceClass;
import org.banyanhook.core.retry.RetryBudget;

/** One database group and its daemons in virtual time, with the project's decisions on order, refusal and retries. */
final class SchedulingReplay {

    static final long MILLI = 1_000_000;
    static final int DAEMONS = 20;
    private static final int CONNECTIONS = 3;
    private static final int ACCOUNTS = 20;
    private static final long END = 12_000 * MILLI;

    /** The request kinds of site B for one of its groups; a fifth of the third kind are writes. */
    enum Kind {
        CURRENT(0, 18, 4.5, 250, 800, 2_000, 1),
        BOUNDED(2, 18, 22, 1_200, 1_500, 3_000, 0),
        OWN_WRITES(1, 84, 14, 500, 1_000, 2_000, 0.2);

        final int priority;
        final double perSecond;
        final double workMillis;
        final long objective;
        final long timeout;
        final long deadline;
        final double writers;

        Kind(int priority, double perSecond, double work, long objective, long timeout, long deadline, double writers) {
            this.priority = priority;
            this.perSecond = perSecond;
            this.workMillis = work;
            this.objective = objective * MILLI;
            this.timeout = timeout * MILLI;
            this.deadline = deadline * MILLI;
            this.writers = writers;
        }
    }

    /** Which decisions are used. In SHADOW, what the estimate refuses is held all the same, to count wrong refusals. */
    enum Policy {
        FORMER,
        CURRENT,
        SHADOW
    }

    /** A disturbance between two times; accounts may be overactive, the primary away, and connections held. */
    record Scenario(String name, double rate, double account, boolean primaryAway, int held, long from, long until) {
        boolean active(long time) {
            return time >= from * MILLI && time < until * MILLI;
        }

        boolean measured(long time) {
            return time >= from * MILLI && time < (until + 2_000) * MILLI;
        }
    }

    private record Event(long time, long sequence, Runnable action) {}

    private static final class Request {
        final Kind kind;
        final boolean writer;
        final String account;
        final long started;
        int tries;
        int attempts;
        long arrived;
        boolean refusedInShadow;

        Request(Kind kind, boolean writer, String account, long started) {
            this.kind = kind;
            this.writer = writer;
            this.account = account;
            this.started = started;
        }
    }

    private final class Member {
        final int slots;
        final ArrayDeque<Runnable> queue = new ArrayDeque<>();
        int running;

        Member(int slots) {
            this.slots = slots;
        }

        boolean submit(double workMillis, Runnable done) {
            if (running == slots && queue.size() >= 8 * slots) {
                return false;
            }
            Runnable start = () -> {
                running++;
                after((long) (workMillis * MILLI), () -> {
                    running--;
                    done.run();
                    if (!queue.isEmpty()) {
                        queue.poll().run();
                    }
                });
            };
            if (running < slots) {
                start.run();
            } else {
                queue.add(start);
            }
            return true;
        }
    }

    private static final class Side {
        final Member member;
        final PriorityFairQueue<Request> queue = new PriorityFairQueue<>(256, 96);
        final AdmissionEstimator estimator = new AdmissionEstimator();
        int free = CONNECTIONS;
        int held;

        Side(Member member) {
            this.member = member;
        }
    }

    private final class Daemon {
        final Side[] sides = {new Side(replicas), new Side(primary)};
        final ReleasePace pace = new ReleasePace();
        final RetryBudget budget = new RetryBudget(1, 10);
    }

    private final Policy policy;
    private final Scenario scenario;
    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::time).thenComparingLong(Event::sequence));
    private final Member primary = new Member(4);
    private final Member replicas = new Member(8);
    private final List<Daemon> daemons = new ArrayList<>();
    private long now;
    private long sequence;
    final int[] offered = new int[Kind.values().length];
    final int[] inTime = new int[Kind.values().length];
    final int[] answered = new int[Kind.values().length];
    int othersOffered;
    int othersInTime;
    int busy;
    int refused;
    int wronglyRefused;

    SchedulingReplay(Policy policy, Scenario scenario, long seed) {
        this.policy = policy;
        this.scenario = scenario;
        this.random = new Random(seed);
        for (int index = 0; index < DAEMONS; index++) {
            daemons.add(new Daemon());
        }
    }

    SchedulingReplay run() {
        for (Kind kind : Kind.values()) {
            scheduleArrival(kind);
        }
        after(10 * MILLI, this::expire);
        after(scenario.from() * MILLI, () -> hold(scenario.held()));
        after(scenario.until() * MILLI, () -> {
            hold(-scenario.held());
            daemons.forEach(this::onPrimaryReturned);
        });
        while (!events.isEmpty() && events.peek().time() < END + 3_000 * MILLI) {
            Event next = events.remove();
            now = next.time();
            next.action().run();
        }
        return this;
    }

    private void after(long delay, Runnable action) {
        events.add(new Event(now + delay, ++sequence, action));
    }

    private void hold(int count) {
        for (int index = 0; index < Math.abs(count); index++) {
            Side side = daemons.get(index % DAEMONS).sides[1];
            side.held += Integer.signum(count);
            side.free -= Integer.signum(count);
        }
        daemons.forEach(daemon -> dispatch(daemon, 1));
    }

    private void onPrimaryReturned(Daemon daemon) {
        if (scenario.primaryAway() && policy != Policy.FORMER && daemon.sides[1].queue.size() > 0) {
            long start = daemon.pace.begin(now, DAEMONS, random.nextDouble(), CONNECTIONS);
            after(start - now, () -> dispatch(daemon, 1));
        }
        dispatch(daemon, 1);
    }

    private void scheduleArrival(Kind kind) {
        double factor = scenario.active(now) ? scenario.rate() * (1 + (scenario.account() - 1) / ACCOUNTS) : 1;
        double rate = kind.perSecond * factor;
        after((long) (-Math.log(1 - random.nextDouble()) * 1_000 * MILLI / rate), () -> {
            if (now < END) {
                scheduleArrival(kind);
                arrive(kind);
            }
        });
    }

    private void arrive(Kind kind) {
        int last = scenario.active(now) ? (int) (ACCOUNTS - 1 + scenario.account()) : ACCOUNTS;
        String account = "account" + Math.min(ACCOUNTS - 1, random.nextInt(last));
        Request request = new Request(kind, random.nextDouble() < kind.writers, account, now);
        if (scenario.measured(now)) {
            offered[kind.ordinal()]++;
            othersOffered += isOther(request) ? 1 : 0;
        }
        attempt(request);
    }

    private boolean isOther(Request request) {
        return !request.account.equals("account" + (ACCOUNTS - 1));
    }

    private void attempt(Request request) {
        request.arrived = now;
        request.attempts = 0;
        submit(daemons.get(random.nextInt(DAEMONS)), request);
    }

    private void refuse(Request request) {
        if (request.tries++ < 2 && now - request.started < request.kind.deadline) {
            after(2 * MILLI, () -> attempt(request));
        }
    }

    private void submit(Daemon daemon, Request request) {
        int index = request.writer ? 1 : 0;
        Side side = daemon.sides[index];
        long deadline = request.arrived + request.kind.timeout;
        ServiceClass order = ServiceClass.UNIFORM;
        if (policy != Policy.FORMER) {
            order = ServiceClass.of(
                    request.kind.priority,
                    request.arrived + request.kind.objective - side.estimator.expectedHoldNanos());
            double ahead = side.queue.aheadOf(request.account, 1, request.kind.priority);
            boolean waits = side.free == 0 || side.queue.size() > 0;
            if (waits
                    && refuses(
                            side, new AdmissionEstimator.QueueState(ahead, CONNECTIONS - side.held, true), deadline)) {
                refused++;
                request.refusedInShadow = true;
                if (policy == Policy.CURRENT) {
                    refuse(request);
                    return;
                }
            }
        }
        Waiting<Request> waiting = new Waiting<>(request, request.account, 1, order, deadline);
        var decision = side.queue.offer(waiting, now);
        decision.displaced().ifPresent(displaced -> refuse(displaced.item()));
        if (!decision.isQueued()) {
            refuse(request);
        }
        dispatch(daemon, index);
    }

    private boolean refuses(Side side, AdmissionEstimator.QueueState state, long deadline) {
        return side.estimator.estimate(state, deadline - now).refuses();
    }

    private void dispatch(Daemon daemon, int index) {
        Side side = daemon.sides[index];
        boolean away = index == 1 && scenario.primaryAway() && scenario.active(now);
        while (side.free > 0 && !away && (index == 0 || daemon.pace.allows(now))) {
            Waiting<Request> next = side.queue.poll(now).orElse(null);
            if (next == null) {
                if (index == 1) {
                    daemon.pace.end();
                }
                return;
            }
            send(daemon, index, next.item());
        }
    }

    private void send(Daemon daemon, int index, Request request) {
        Side side = daemon.sides[index];
        side.free--;
        long sent = now;
        if (request.refusedInShadow) {
            wronglyRefused++;
            request.refusedInShadow = false;
        }
        if (index == 1) {
            daemon.pace.recordSent(now);
            if (request.attempts == 0) {
                daemon.budget.recordRequest("group");
            }
        }
        request.attempts++;
        // Half of the requests need a new connection, which takes 12 ms of a slot.
        double work = -Math.log(1 - random.nextDouble()) * request.kind.workMillis + (random.nextBoolean() ? 12 : 0);
        boolean accepted = side.member.submit(work, () -> {
            side.estimator.recordHold(now - sent);
            finish(request);
            onAnswer(daemon, index, false);
        });
        if (!accepted) {
            busy++;
            after(2 * MILLI, () -> {
                onAnswer(daemon, index, true);
                retry(daemon, request);
            });
        }
    }

    private void onAnswer(Daemon daemon, int index, boolean overloaded) {
        daemon.sides[index].free++;
        if (index == 1) {
            daemon.pace.recordAnswer(overloaded, now);
        }
        dispatch(daemon, index);
    }

    private void retry(Daemon daemon, Request request) {
        long delay = request.attempts < 5 ? 40 * MILLI : 0;
        if (policy != Policy.FORMER) {
            long remaining = request.arrived + request.kind.timeout - now;
            delay = BusyRetry.decide(
                            request.attempts - 1,
                            remaining,
                            random.nextDouble(),
                            () -> daemon.budget.tryAcquireRetry("group"))
                    .delayNanos();
        }
        if (delay == 0) {
            refuse(request);
        } else {
            after(delay, () -> submit(daemon, request));
        }
    }

    private void finish(Request request) {
        if (scenario.measured(request.started) && now - request.arrived < request.kind.timeout) {
            boolean timely = now - request.started <= request.kind.objective;
            answered[request.kind.ordinal()]++;
            inTime[request.kind.ordinal()] += timely ? 1 : 0;
            othersInTime += timely && isOther(request) ? 1 : 0;
        }
    }

    private void expire() {
        for (Daemon daemon : daemons) {
            for (Side side : daemon.sides) {
                side.queue.removeExpired(now).forEach(waiting -> refuse(waiting.item()));
            }
        }
        if (now < END + 2_000 * MILLI) {
            after(10 * MILLI, this::expire);
        }
    }
}
