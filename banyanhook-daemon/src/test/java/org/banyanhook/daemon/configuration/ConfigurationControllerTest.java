package org.banyanhook.daemon.configuration;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.util.Objects.requireNonNull;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.banyanhook.core.command.ChangeRequest;
import org.banyanhook.core.command.CommandParser;
import org.banyanhook.core.command.ConfigurationChange;
import org.banyanhook.core.configuration.ClientAccount;
import org.banyanhook.core.configuration.FailureDomain;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.configuration.GrantedKey;
import org.banyanhook.core.configuration.WatcherSelection;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.core.key.KeyAdmission;
import org.banyanhook.core.key.KeyHashes;
import org.banyanhook.core.key.KeyPolicy;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Checks that changes and key withdrawals reach every entry VM during platform outages, crashes and the isolation of a
 * failure domain, and that no change is lost, applied twice or reverted.
 */
class ConfigurationControllerTest {

    private static final Duration PROPAGATION_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration WITHDRAWAL_TIMEOUT = Duration.ofSeconds(5);
    private static final List<String> DOMAINS = List.of("a", "b", "c");
    private static final int ENTRY_VMS_PER_DOMAIN = 6;

    private final FakePlatform platform = new FakePlatform();
    private final ConfigurationCodec codec = new ConfigurationCodec();
    private FakeFleet fleet = new FakeFleet(platform, KeyPolicy.REFUSE, 1);

    @BeforeEach
    void storeInitialDocument() {
        platform.store(codec.encode(configuration()).text());
    }

    @AfterEach
    void close() {
        fleet.close();
    }

    @Test
    void changeReachesEveryEntryVmWithoutHeartbeats() throws Exception {
        startAll();
        fleet.setHeartbeatsEnabled(false);

        change("c1", "set account plant rate=20");

        awaitVersion(2, PROPAGATION_TIMEOUT);
        assertThat(platform.maximumOpenWatches()).isAtMost(DOMAINS.size() * 2);
        PropagationReport report = fleet.allControllers()
                .get(0)
                .checkPropagation(Duration.ofSeconds(2))
                .join();
        assertThat(report).isEqualTo(new PropagationReport(2, List.of(), List.of()));
    }

    @Test
    void disseminatesPastUnresponsiveEntryVms() throws Exception {
        List<String> names =
                IntStream.range(0, 30).mapToObj(index -> "a-" + index).toList();
        names.forEach(name -> fleet.start(name, "a"));
        awaitVersion(1, WITHDRAWAL_TIMEOUT);
        fleet.setHeartbeatsEnabled(false);
        List<String> watchers = WatcherSelection.select(names);
        names.stream().filter(name -> !watchers.contains(name)).limit(10).forEach(fleet::crash);

        change("c1", "set account plant rate=20");

        awaitVersion(2, PROPAGATION_TIMEOUT);
    }

    @Test
    void withdrawalAppliesDuringAPlatformOutageAndIsWrittenOnceAfterwards() throws Exception {
        startAll();
        platform.setUnavailable(true);

        fleet.allControllers().get(0).withdraw(Set.of(KeyHashes.hash("key"))).join();

        awaitRefused(fleet.allControllers(), RefusalKind.KEY_WITHDRAWN);
        platform.setUnavailable(false);
        awaitVersion(2, WITHDRAWAL_TIMEOUT);
        assertThat(storedConfiguration().withdrawnKeyHashes()).containsExactly(KeyHashes.hash("key"));
        assertThat(storedConfiguration().version()).isEqualTo(2);
    }

    @Test
    void loadsTheConfigurationFromPeersDuringAPlatformOutage() throws Exception {
        startAll();
        change("c1", "set account plant rate=20");
        awaitVersion(2, PROPAGATION_TIMEOUT);
        platform.setUnavailable(true);
        fleet.allControllers().get(0).withdraw(Set.of(KeyHashes.hash("key"))).join();
        fleet.stop("a-1");

        ConfigurationController restarted = fleet.start("a-1", "a");

        await().atMost(PROPAGATION_TIMEOUT)
                .until(() -> restarted.current().version() == 2 && refusalOf(restarted) == RefusalKind.KEY_WITHDRAWN);
    }

    @Test
    void neverRevertsToAnOlderDocument() throws Exception {
        startAll();
        change("c1", "set account plant rate=20");
        awaitVersion(2, PROPAGATION_TIMEOUT);
        AtomicInteger lowerVersions = new AtomicInteger();
        fleet.allControllers()
                .forEach(controller -> controller.addListener(configuration -> {
                    if (configuration.version() < 2) {
                        lowerVersions.incrementAndGet();
                    }
                }));

        platform.store(codec.encode(configuration()).text());
        platform.store(
                codec.encode(configuration().toBuilder().version(3).build()).text());

        awaitVersion(3, PROPAGATION_TIMEOUT);
        assertThat(lowerVersions.get()).isEqualTo(0);
    }

    @Test
    void appliesAChangeOnceIfTheResponseIsLost() throws Exception {
        startAll();
        platform.dropResponses(1);

        long version = change("c1", "set account plant rate=20");
        long repeated = change("c1", "set account plant rate=20");

        assertThat(version).isEqualTo(2);
        assertThat(repeated).isEqualTo(2);
        assertThat(storedConfiguration().version()).isEqualTo(2);
    }

    @Test
    void appliesEveryConcurrentChange() throws Exception {
        startAll();
        List<ConfigurationController> controllers = fleet.allControllers();
        List<CompletableFuture<Long>> changes = new ArrayList<>();
        for (int index = 0; index < 6; index++) {
            ConfigurationChange change = (ConfigurationChange) CommandParser.parse("drain entry-vm vm-" + index);
            changes.add(controllers.get(index).changer().change(new ChangeRequest("c" + index, 1, change)));
        }

        changes.forEach(CompletableFuture::join);

        assertThat(storedConfiguration().version()).isEqualTo(7);
        assertThat(storedConfiguration().drainedEntryVms()).hasSize(6);
    }

    @Test
    void refusesAChangeDuringAPlatformOutage() {
        startAll();
        platform.setUnavailable(true);

        CompletionException exception =
                assertThrows(CompletionException.class, () -> change("c1", "set account plant rate=20"));

        assertThat(requireNonNull((RefusalException) exception.getCause()).kind())
                .isEqualTo(RefusalKind.PLATFORM_UNAVAILABLE);
    }

    @Test
    void refusesKeysInAnIsolatedFailureDomainUntilItHasCaughtUp() {
        startAll();
        ConfigurationController isolated = controllerIn("c");
        fleet.setIsolated("c", true);

        controllerIn("a").withdraw(Set.of(KeyHashes.hash("key"))).join();

        awaitRefused(List.of(isolated), RefusalKind.FAILURE_DOMAIN_ISOLATED);
        assertThat(refusalOf(controllerIn("b"))).isEqualTo(RefusalKind.KEY_WITHDRAWN);
        PropagationReport report =
                controllerIn("a").checkPropagation(Duration.ofMillis(300)).join();
        assertThat(report.unconfirmedFailureDomains()).containsExactly("c");

        fleet.setIsolated("c", false);
        await().atMost(WITHDRAWAL_TIMEOUT).until(() -> {
            RefusalKind kind = refusalOf(isolated);
            assertThat(kind).isNotNull();
            return kind == RefusalKind.KEY_WITHDRAWN;
        });
    }

    @Test
    void acceptsKeysInAnIsolatedFailureDomainIfThePolicyIsServe() {
        fleet.close();
        fleet = new FakeFleet(platform, KeyPolicy.SERVE, 1);
        startAll();
        ConfigurationController isolated = controllerIn("c");
        fleet.setIsolated("c", true);

        await().atMost(Duration.ofSeconds(10))
                .until(() -> isolated.keyAuthenticator().admission() == KeyAdmission.CUT_OFF_AND_SERVING);

        assertThat(refusalOf(isolated)).isNull();
        isolated.withdraw(Set.of(KeyHashes.hash("key"))).join();
        assertThat(refusalOf(isolated)).isEqualTo(RefusalKind.KEY_WITHDRAWN);
    }

    private void startAll() {
        for (String domain : DOMAINS) {
            for (int index = 0; index < ENTRY_VMS_PER_DOMAIN; index++) {
                fleet.start(domain + "-" + index, domain);
            }
        }
        awaitVersion(1, WITHDRAWAL_TIMEOUT);
        await().atMost(WITHDRAWAL_TIMEOUT).untilAsserted(() -> {
            for (ConfigurationController controller : fleet.allControllers()) {
                assertThat(refusalOf(controller)).isNull();
            }
        });
    }

    private long change(String id, String text) throws RefusalException {
        ConfigurationController controller = fleet.allControllers().get(0);
        ConfigurationChange change = (ConfigurationChange) CommandParser.parse(text);
        return controller
                .changer()
                .change(new ChangeRequest(id, controller.current().version(), change))
                .join();
    }

    private void awaitVersion(long version, Duration timeout) {
        await().atMost(timeout).untilAsserted(() -> {
            for (ConfigurationController controller : fleet.allControllers()) {
                assertWithMessage("version")
                        .that(controller.current().version())
                        .isEqualTo(version);
            }
        });
    }

    private void awaitRefused(List<ConfigurationController> controllers, RefusalKind kind) {
        await().atMost(WITHDRAWAL_TIMEOUT).untilAsserted(() -> {
            for (ConfigurationController controller : controllers) {
                assertThat(refusalOf(controller)).isEqualTo(kind);
            }
        });
    }

    private ConfigurationController controllerIn(String domain) {
        return fleet.controller(domain + "-0");
    }

    private FleetConfiguration storedConfiguration() throws ConfigurationFormatException {
        return codec.decode(platform.text()).configuration();
    }

    private static @Nullable RefusalKind refusalOf(ConfigurationController controller) {
        try {
            controller.keyAuthenticator().authenticate("key");
            return null;
        } catch (RefusalException refusal) {
            return refusal.kind();
        }
    }

    private static FleetConfiguration configuration() {
        List<FailureDomain> domains = DOMAINS.stream()
                .map(name -> new FailureDomain(name, "r", 0.3, false))
                .toList();
        ClientAccount account =
                new ClientAccount("plant", List.of(new GrantedKey("k1", KeyHashes.hash("key"))), 10, 5, 1);
        return new FleetConfiguration(1, domains, List.of(account), List.of(), Set.of(), List.of(), List.of());
    }
}
