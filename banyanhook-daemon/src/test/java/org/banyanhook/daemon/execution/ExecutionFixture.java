package org.banyanhook.daemon.execution;

import com.google.common.hash.Hashing;
import com.google.common.io.Closer;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.banyanhook.core.configuration.BackendServer;
import org.banyanhook.core.configuration.ClientAccount;
import org.banyanhook.core.configuration.Database;
import org.banyanhook.core.configuration.FailureDomain;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.configuration.GrantedKey;
import org.banyanhook.core.configuration.Route;
import org.banyanhook.core.configuration.RouteKind;
import org.banyanhook.core.configuration.Service;
import org.banyanhook.core.configuration.SessionSecret;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.daemon.backend.BackendConnectionPool;
import org.banyanhook.daemon.backend.BackendHttpClientFactory;
import org.banyanhook.daemon.backend.ScriptedBackendServer;
import org.banyanhook.daemon.primary.PositionConfirmer;
import org.banyanhook.daemon.primary.PrimaryDirectory;
import org.banyanhook.daemon.primary.PrimaryView;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.jspecify.annotations.Nullable;

/** A database group of two scripted backend servers, with local executors and a fake primary directory. */
public final class ExecutionFixture implements AutoCloseable {

    public static final String KEY = "key-of-acme-0123456789";
    public static final String KEY_HASH =
            Hashing.sha256().hashString(KEY, StandardCharsets.UTF_8).toString();

    public final ScriptedBackendServer primary = new ScriptedBackendServer();
    public final ScriptedBackendServer replica = new ScriptedBackendServer();
    public final FakePrimaryDirectory directory = new FakePrimaryDirectory();
    public final SimpleMeterRegistry meters = new SimpleMeterRegistry();
    public final BackendConnectionPool pool;
    public final LocalStatementExecutor executor;
    public volatile PositionConfirmer confirmer =
            (database, position, timeout) -> CompletableFuture.completedFuture(null);
    public volatile FleetConfiguration configuration;
    public final LocalTransactionExecutor transactions;
    private final HttpClient client;

    public ExecutionFixture() throws Exception {
        client = BackendHttpClientFactory.start(new QueuedThreadPool(20));
        pool = new BackendConnectionPool(client, meters);
        configuration = configuration(Set.of());
        executor = LocalStatementExecutor.builder()
                .configuration(() -> configuration)
                .directory(directory)
                .confirmer((database, position, timeout) -> confirmer.confirm(database, position, timeout))
                .pool(pool)
                .connectionShare(database -> 4)
                .chooser(new MemberChooser(() -> configuration, directory, (member, asPrimary) -> true))
                .meters(meters)
                .build();
        transactions = new LocalTransactionExecutor("vm-1", 7, executor);
    }

    public FleetConfiguration configuration(Set<String> withdrawnKeyHashes) {
        List<BackendServer> members = List.of(
                new BackendServer("db-1", "east", primary.address(), false),
                new BackendServer("db-2", "west", replica.address(), false));
        List<Route> routes = List.of(
                new Route("read", RouteKind.READ, false, 0),
                new Route("aged", RouteKind.READ, false, 1000),
                new Route("open", RouteKind.READ, true, 0),
                new Route("put", RouteKind.IDEMPOTENT_WRITE, false, 0),
                new Route("append", RouteKind.NON_IDEMPOTENT_WRITE, false, 0));
        Service service = new Service("orders-db", List.of(new Database("db", members, 16, 2)), routes);
        ClientAccount account = new ClientAccount("acme", List.of(new GrantedKey("acme-1", KEY_HASH)), 100, 100, 1);
        return new FleetConfiguration(
                1,
                List.of(new FailureDomain("east", "e", 0.5, false), new FailureDomain("west", "w", 0.5, false)),
                List.of(account),
                List.of(service),
                withdrawnKeyHashes,
                List.of(new SessionSecret("s1", "MDEyMzQ1Njc4OTAxMjM0NTY3ODkwMTIzNDU2Nzg5MDE=")),
                List.of());
    }

    /** Returns a configuration in which one failure domain is taken out. */
    public FleetConfiguration configurationWithDomainTakenOut(String failureDomain) {
        FleetConfiguration base = configuration(Set.of());
        List<FailureDomain> domains = base.failureDomains().stream()
                .map(domain -> new FailureDomain(
                        domain.name(),
                        domain.region(),
                        domain.rateShare(),
                        domain.name().equals(failureDomain)))
                .toList();
        return base.toBuilder().version(2).failureDomains(domains).build();
    }

    public StatementCommand.Builder command(String routeName) {
        Route route = configuration
                .service("orders-db")
                .orElseThrow()
                .route(routeName)
                .orElseThrow();
        return StatementCommand.builder()
                .requestId("r-1")
                .account("acme")
                .service("orders-db")
                .database("db")
                .route(route)
                .statement("add k 1")
                .deadlineNanos(System.nanoTime() + Duration.ofMillis(1500).toNanos());
    }

    @Override
    public void close() throws IOException {
        try (Closer closer = Closer.create()) {
            closer.register(primary::close);
            closer.register(replica::close);
            closer.register(pool::close);
            closer.register(transactions::close);
            closer.register(() -> {
                try {
                    client.stop();
                } catch (Exception exception) {
                    throw new IOException(exception);
                }
            });
        }
    }

    /** Returns the values that a test sets, and records the reported outcomes. */
    public static final class FakePrimaryDirectory implements PrimaryDirectory {
        public volatile Optional<PrimaryView> primaryView = Optional.of(new PrimaryView("db", 1, "db-1"));
        public volatile Optional<String> servingReplica = Optional.empty();
        public volatile long ageMillis;
        public volatile @Nullable Runnable onLaterTerm;
        public final List<String> reports = new CopyOnWriteArrayList<>();

        @Override
        public Optional<PrimaryView> primary(String database) {
            return primaryView;
        }

        @Override
        public Optional<String> selectReplica(String database, LogPosition position, long maximumAgeMillis) {
            return servingReplica;
        }

        @Override
        public long ageBoundMillis(String database, LogPosition position) {
            return ageMillis;
        }

        @Override
        public void reportRequestOutcome(String database, String member, boolean reachable, long observedTerm) {
            reports.add(member + " " + reachable + " " + observedTerm);
            Runnable action = onLaterTerm;
            if (observedTerm > 1 && action != null) {
                action.run();
            }
        }
    }
}
