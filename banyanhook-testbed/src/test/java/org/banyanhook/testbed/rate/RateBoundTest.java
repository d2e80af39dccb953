package org.banyanhook.testbed.rate;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.banyanhook.core.configuration.ClientAccount;
import org.banyanhook.core.configuration.FailureDomain;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.junit.jupiter.api.Test;

/** Accepted requests in every window w stay within rate * w + burst, whatever fails. */
final class RateBoundTest {

    private static final List<String> DOMAINS = List.of("yorkton-kiln", "brandon-depot", "edmonton-wh");
    private static final long SECOND = 1_000_000_000L;
    private static final long WAIT = 200_000_000L;

    @Test
    void holdsUnderRandomFaults() {
        long accepted = 0;
        for (long seed = 1; seed <= 100; seed++) {
            RateWorld world = fleet(seed);
            Random faults = new Random(seed * 31);
            demand(world, faults);
            world.queue().runFor(20 * SECOND);
            world.queue().every(4 * SECOND, () -> fault(world, faults));
            world.queue().runFor(120 * SECOND);
            assertWithMessage("seed %s", seed).that(world.highestExcess()).isEqualTo(0.0);
            accepted += world.outcomes("hot")[0];
        }
        assertThat(accepted).isGreaterThan(100L * 300);
    }

    @Test
    void servesTheWholeRateWithoutFaults() {
        RateWorld world = fleet(1);
        demand(world, new Random(1));
        world.queue().runFor(60 * SECOND);
        assertThat(world.highestExcess()).isEqualTo(0.0);
        assertThat(world.outcomes("hot")[0]).isAtLeast(20 * 50);
        assertThat(world.outcomes("hot")[0]).isAtMost(20 * 60 + 10);
    }

    private static RateWorld fleet(long seed) {
        RateWorld world = new RateWorld(seed, configuration(1, 20, 10));
        for (int i = 0; i < 9; i++) {
            world.start("vm-" + i, DOMAINS.get(i % 3));
        }
        return world;
    }

    private static FleetConfiguration configuration(long version, double rate, double burst) {
        List<FailureDomain> domains = new ArrayList<>();
        DOMAINS.forEach(name -> domains.add(new FailureDomain(name, "region", 1.0 / 3, false)));
        List<ClientAccount> accounts = List.of(
                new ClientAccount("hot", List.of(), rate, burst, 1), new ClientAccount("small", List.of(), 2, 3, 1));
        return new FleetConfiguration(version, domains, accounts, List.of(), Set.of(), List.of(), List.of());
    }

    /** Asks for far more than the rate, in bursts and at random processes, some of them cut off or waking up. */
    private static void demand(RateWorld world, Random random) {
        world.queue().every(25_000_000, () -> {
            List<RateProcess> alive = world.alive();
            int burst = random.nextInt(20) == 0 ? 15 : 1;
            for (int i = 0; i < burst && !alive.isEmpty(); i++) {
                RateProcess process = alive.get(random.nextInt(alive.size()));
                world.request(process, random.nextInt(8) == 0 ? "small" : "hot", WAIT);
            }
        });
    }

    private static void fault(RateWorld world, Random random) {
        List<RateProcess> alive = world.alive();
        RateProcess victim = alive.get(random.nextInt(alive.size()));
        switch (random.nextInt(12)) {
            case 0 -> world.network().faults(0.2, 0.2, 0.1);
            case 1 -> world.network().faults(0, 0, 0);
            case 2 -> world.platform().down(random.nextBoolean());
            case 3 -> cutDomain(world, random);
            case 4 -> world.processes().forEach(process -> process.island(random.nextInt(3) == 0 ? 1 : 0));
            case 5 -> heal(world);
            case 6 -> victim.pause((long) (random.nextDouble() * 60 * SECOND));
            case 7 -> replaceUnderSameName(world, victim);
            case 8 -> replaceUnderNewName(world, victim, random);
            case 9 -> victim.shutDown();
            case 10 -> abandonAndReplace(world, victim, random);
            default ->
                world.configure(configuration(
                        world.configuration().version() + 1, 5 + random.nextInt(20), 2 + random.nextInt(12)));
        }
        if (world.alive().size() < 6) {
            world.start("vm-" + random.nextInt(1_000_000), DOMAINS.get(random.nextInt(3)));
        }
    }

    private static void heal(RateWorld world) {
        world.processes().forEach(process -> process.island(0));
        world.platform().island(0);
        world.platform().down(false);
        world.network().faults(0.02, 0.05, 0.02);
    }

    private static void cutDomain(RateWorld world, Random random) {
        String domain = DOMAINS.get(random.nextInt(3));
        world.processes().stream()
                .filter(process -> process.failureDomain().equals(domain))
                .forEach(process -> process.island(2));
        world.platform().island(random.nextInt(4) == 0 ? 2 : 0);
    }

    private static void replaceUnderSameName(RateWorld world, RateProcess victim) {
        victim.kill();
        world.start(victim.name(), victim.failureDomain());
    }

    private static void replaceUnderNewName(RateWorld world, RateProcess victim, Random random) {
        victim.kill();
        world.start("vm-" + random.nextInt(1_000_000), victim.failureDomain());
    }

    /** Cuts a process off from everything, or freezes it, and starts another under its name. */
    private static void abandonAndReplace(RateWorld world, RateProcess victim, Random random) {
        if (random.nextBoolean()) {
            victim.island(1_000 + random.nextInt(1_000_000));
        } else {
            victim.pause(40 * SECOND);
        }
        world.start(victim.name(), victim.failureDomain());
    }
}
