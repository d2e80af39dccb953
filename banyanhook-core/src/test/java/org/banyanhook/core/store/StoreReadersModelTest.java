package org.banyanhook.core.store;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.banyanhook.core.store.StoreChangeLog.Change;
import org.banyanhook.core.store.StoreChangeLog.Changes;
import org.banyanhook.core.store.StoreChangeLog.Coverage;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/**
 * Plays random faults of readers in virtual time. Each answer must contain all changes of its range, and daemons whose
 * own links are whole must read each change in time.
 */
final class StoreReadersModelTest {

    private static final int SEEDS = 60;
    private static final int DAEMONS = 8;
    private static final long FAULTS_END_MILLIS = 40_000;
    private static final long END_MILLIS = 60_000;
    private static final long COALESCE_MILLIS = 600;

    /**
     * A configuration must be in force within 5 s; of them, 1.4 s are the longest delay of the mirror and 100 ms a
     * call.
     */
    private static final long MAXIMUM_DELAY_MILLIS = 5_000 - 1_400 - 100;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
    private final List<Daemon> daemons = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private final Map<StoreRevision, Long> writtenMillis = new HashMap<>();
    private List<StoreRevision> history = new ArrayList<>();
    private Random random = new Random(0);
    private StoreRevision newest = StoreRevision.NONE;
    private StoreRevision compacted = StoreRevision.NONE;
    private long nowMillis;
    private long sequence;
    private long worstMillis;
    private long readerAnswers;
    private long storeAnswers;

    private record Event(
            long atMillis, long sequence, @Nullable Daemon daemon, int run, Runnable task) {}

    private record Watch(StoreRevision after, Consumer<Changes<StoreRevision>> answer) {}

    /** Guards against gaps, answers of an older era, and changes that a faulty reader delays for too long. */
    @Test
    void changesAreCompleteAndInTimeWhateverReadersDo() {
        long readers = 0;
        long store = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            StoreReadersModelTest model = new StoreReadersModelTest();
            model.play(seed);
            assertWithMessage("delay in ms with seed %s", seed)
                    .that(model.worstMillis)
                    .isAtMost(MAXIMUM_DELAY_MILLIS);
            readers += model.readerAnswers;
            store += model.storeAnswers;
        }
        assertWithMessage("answers of readers, of the store: %s", store)
                .that(readers)
                .isGreaterThan(store);
    }

    private void play(int seed) {
        random = new Random(seed);
        newest = new StoreRevision(1, 100);
        compacted = newest;
        for (int index = 0; index < DAEMONS; index++) {
            Daemon daemon = new Daemon("vm-" + index);
            daemons.add(daemon);
            daemon.start();
        }
        after(50, null, 0, this::write);
        // One reader fails at a time; a second one fails only together with a restored store.
        after(2_000, null, 0, () -> fail(daemons.get(random.nextInt(DAEMONS))));
        while (!events.isEmpty() && nowMillis < END_MILLIS) {
            Event event = events.remove();
            nowMillis = event.atMillis();
            Daemon daemon = event.daemon();
            if (daemon == null) {
                event.task().run();
            } else if (daemon.run == event.run()) {
                if (daemon.frozenUntilMillis > nowMillis) {
                    // What arrives while a daemon is frozen is read when it runs again.
                    events.add(
                            new Event(daemon.frozenUntilMillis, event.sequence(), daemon, event.run(), event.task()));
                } else {
                    event.task().run();
                }
            }
        }
        for (Daemon daemon : daemons) {
            assertWithMessage("seed %s, %s has read", seed, daemon.name)
                    .that(daemon.known.number())
                    .isAtLeast(newest.number() - 40);
        }
    }

    private void after(long millis, @Nullable Daemon daemon, int run, Runnable task) {
        events.add(new Event(nowMillis + millis, ++sequence, daemon, run, task));
    }

    private void write() {
        newest = new StoreRevision(newest.era(), newest.number() + 1);
        history.add(newest);
        writtenMillis.put(newest, nowMillis);
        for (Watch watch : List.copyOf(watches)) {
            watches.remove(watch);
            answer(watch);
        }
        boolean quiet = random.nextInt(50) == 0;
        after(quiet ? 3_000 : random.nextInt(150), null, 0, this::write);
    }

    private void fail(Daemon victim) {
        long millis = 200L + random.nextInt(6_000);
        victim.faultyUntilMillis = nowMillis + millis + 8_000;
        switch (random.nextInt(6)) {
            case 0 -> victim.frozenUntilMillis = nowMillis + millis;
            case 1 -> victim.storeCutUntilMillis = nowMillis + millis;
            case 2 -> victim.peersCutUntilMillis = nowMillis + millis;
            case 3 -> victim.restart();
            case 4 -> compacted = newest;
            default -> restore();
        }
        if (nowMillis < FAULTS_END_MILLIS) {
            after(10_000, null, 0, () -> fail(daemons.get(random.nextInt(DAEMONS))));
        }
    }

    /** Restores the store from a copy; the numbers since are issued again. */
    private void restore() {
        newest = new StoreRevision(newest.era() + 1, newest.number() - random.nextInt(10));
        compacted = newest;
        history = new ArrayList<>();
        watches.clear();
        // Daemons learn of the era by their next renewal, and read everything again.
        daemons.forEach(daemon -> after(random.nextInt(1_000), daemon, daemon.run, daemon::start));
    }

    private void answer(Watch watch) {
        List<StoreRevision> found =
                history.stream().filter(change -> change.isAfter(watch.after())).toList();
        watch.answer().accept(new Changes<>(Coverage.COMPLETE, found, newest));
    }

    private final class Daemon {
        private final String name;
        private StoreReaders choice;
        private StoreChangeLog<StoreRevision> log = new StoreChangeLog<>(60, 10_000);
        private StoreRevision known = StoreRevision.NONE;
        private long era;
        private long generation;
        private long lastTickMillis;
        private long frozenUntilMillis;
        private long storeCutUntilMillis;
        private long peersCutUntilMillis;
        private long faultyUntilMillis;
        private int run;

        Daemon(String name) {
            this.name = name;
            this.choice = new StoreReaders(name);
        }

        private long nanos() {
            return TimeUnit.MILLISECONDS.toNanos(nowMillis);
        }

        private void restart() {
            run++;
            log = new StoreChangeLog<>(60, 10_000);
            choice = new StoreReaders(name);
            after(500, this, run, this::start);
        }

        /** Reads everything, then watches. */
        private void start() {
            generation++;
            if (nowMillis < storeCutUntilMillis) {
                after(300, this, run, this::start);
                return;
            }
            known = newest;
            era = newest.era();
            lastTickMillis = nowMillis;
            watch();
        }

        /** Returns the readers; a daemon with a fault has an outdated view, in which it is one itself. */
        private List<String> readers() {
            return nowMillis < faultyUntilMillis && run % 2 == 1
                    ? List.of(name, "vm-0")
                    : StoreReaders.select(
                            "domain",
                            daemons.stream().map(daemon -> daemon.name).toList());
        }

        private void checkPause() {
            if (nowMillis - lastTickMillis >= 1_000) {
                log.recordPause(nanos());
            }
            lastTickMillis = nowMillis;
        }

        private void watch() {
            long current = ++generation;
            Optional<String> reader = choice.choose(readers(), nanos());
            if (reader.isEmpty()) {
                askStore(current, readers().contains(name));
                return;
            }
            StoreRevision asked = known;
            Daemon target = daemons.stream()
                    .filter(daemon -> daemon.name.equals(reader.get()))
                    .findFirst()
                    .orElseThrow();
            boolean[] done = {false};
            Consumer<Changes<StoreRevision>> answered = found -> {
                if (done[0] || current != generation) {
                    return;
                }
                done[0] = true;
                if (found.coverage() == Coverage.COMPLETE) {
                    choice.recordAnswer(reader.get());
                    readerAnswers++;
                    apply(asked, found);
                } else {
                    choice.recordFailure(reader.get(), true, nanos());
                    askStore(current, false);
                }
            };
            if (reaches(target)) {
                after(
                        2,
                        target,
                        target.run,
                        () -> target.accept(this, asked, found -> {
                            if (reaches(target)) {
                                after(2, this, run, () -> answered.accept(found));
                            }
                        }));
            }
            after(StoreReaders.ANSWER_TIMEOUT.toMillis(), this, run, () -> {
                if (!done[0] && current == generation) {
                    done[0] = true;
                    choice.recordFailure(reader.get(), false, nanos());
                    askStore(current, false);
                }
            });
        }

        private boolean reaches(Daemon other) {
            return nowMillis >= peersCutUntilMillis && nowMillis >= other.peersCutUntilMillis;
        }

        private void accept(Daemon sender, StoreRevision asked, Consumer<Changes<StoreRevision>> reply) {
            checkPause();
            Changes<StoreRevision> found = log.since(asked, era, nanos());
            if (readers().contains(sender.name)) {
                reply.accept(new Changes<>(Coverage.UNAVAILABLE, List.of(), StoreRevision.NONE));
            } else if (found.coverage() == Coverage.UNAVAILABLE
                    || !found.changes().isEmpty()) {
                reply.accept(found);
            } else {
                // The model asks the log again instead of being woken by changes.
                long hold = Math.min(50, log.remainingNanos(nanos()) / 1_000_000 + 1);
                after(hold, this, run, () -> reply.accept(log.since(asked, era, nanos())));
            }
        }

        private void askStore(long current, boolean isReader) {
            StoreRevision asked = known;
            long sent = nanos();
            long wait = isReader ? StoreReaders.READER_WATCH_WAIT.toMillis() : 9_000;
            if (asked.era() != newest.era() || compacted.isAfter(asked)) {
                log.clear();
                after(10, this, run, this::start);
                return;
            }
            if (!isReader) {
                log.clear();
            }
            boolean[] done = {false};
            Watch watch = new Watch(
                    asked,
                    found -> after(5, this, run, () -> {
                        if (done[0] || current != generation || nowMillis < storeCutUntilMillis) {
                            return;
                        }
                        done[0] = true;
                        storeAnswers++;
                        if (isReader) {
                            checkPause();
                            log.append(asked, found.revision(), toChanges(found.changes()), sent);
                        }
                        apply(asked, found);
                    }));
            if (nowMillis >= storeCutUntilMillis) {
                if (newest.isAfter(asked)) {
                    answer(watch);
                } else {
                    watches.add(watch);
                    after(wait, null, 0, () -> {
                        if (watches.remove(watch)) {
                            answer(watch);
                        }
                    });
                }
            }
            after(wait + 1_500, this, run, () -> {
                if (!done[0] && current == generation) {
                    done[0] = true;
                    watch();
                }
            });
        }

        private List<Change<StoreRevision>> toChanges(List<StoreRevision> revisions) {
            return revisions.stream()
                    .map(revision -> new Change<>(revision, 10, revision))
                    .toList();
        }

        private void apply(StoreRevision asked, Changes<StoreRevision> found) {
            assertWithMessage("%s at %s ms, after %s", name, nowMillis, asked)
                    .that(found.revision().era())
                    .isEqualTo(asked.era());
            if (asked.era() == newest.era()) {
                assertWithMessage("%s at %s ms, after %s", name, nowMillis, asked)
                        .that(found.changes())
                        .containsExactlyElementsIn(history.stream()
                                .filter(change -> change.isAfter(asked) && !change.isAfter(found.revision()))
                                .toList())
                        .inOrder();
                if (nowMillis >= faultyUntilMillis) {
                    found.changes()
                            .forEach(change -> worstMillis =
                                    Math.max(worstMillis, nowMillis - writtenMillis.getOrDefault(change, nowMillis)));
                }
            }
            known = found.revision().isAfter(known) ? found.revision() : known;
            long current = generation;
            long millis = readers().contains(name) ? StoreReaders.READER_COALESCE.toMillis() : COALESCE_MILLIS;
            after(found.changes().isEmpty() ? 1 : millis, this, run, () -> {
                if (current == generation) {
                    checkPause();
                    watch();
                }
            });
        }
    }
}
