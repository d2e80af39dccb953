package org.banyanhook.testbed.fleet;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Set;
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
import org.banyanhook.core.key.KeyHashes;
import org.banyanhook.daemon.configuration.ConfigurationCodec;

/** Writes the first configuration document of a fleet. */
final class FleetDocument {

    private static final String SECRET = "a secret of the testbed, 32 bytes long or more";

    private FleetDocument() {}

    /**
     * Writes the document.
     *
     * @param scenario the sizes
     * @param members the backend servers of each database
     * @return the JSON text, version 1
     */
    static String write(FleetScenario scenario, Map<String, List<BackendServer>> members) {
        FleetConfiguration configuration = new FleetConfiguration(
                1,
                failureDomains(scenario),
                scenario.accounts().stream().map(FleetDocument::account).toList(),
                List.of(service(scenario, members)),
                Set.of(),
                List.of(new SessionSecret("first", encodedSecret())),
                List.of());
        return new ConfigurationCodec().encode(configuration).text();
    }

    private static List<FailureDomain> failureDomains(FleetScenario scenario) {
        double share = 1.0 / scenario.failureDomains().size();
        return scenario.failureDomains().stream()
                .map(domain -> new FailureDomain(domain.name(), domain.region(), share, false))
                .toList();
    }

    private static ClientAccount account(FleetScenario.Account account) {
        GrantedKey key = new GrantedKey("first", KeyHashes.hash(account.key()));
        return new ClientAccount(account.name(), List.of(key), account.ratePerSecond(), account.burst(), 1);
    }

    private static Service service(FleetScenario scenario, Map<String, List<BackendServer>> members) {
        List<Database> databases = scenario.databases().stream()
                .map(name -> new Database(
                        name, members.getOrDefault(name, List.of()), scenario.connectionLimit(), scenario.slots()))
                .toList();
        List<Route> routes = List.of(
                new Route(FleetRoutes.READ, RouteKind.READ, false, scenario.readAgeMillis()),
                new Route(FleetRoutes.CURRENT_READ, RouteKind.READ, false, 0),
                new Route(FleetRoutes.WRITE, RouteKind.IDEMPOTENT_WRITE, false, 0),
                new Route(FleetRoutes.ONCE, RouteKind.NON_IDEMPOTENT_WRITE, false, 0),
                new Route(FleetRoutes.OPEN_READ, RouteKind.READ, true, scenario.readAgeMillis()));
        return new Service(scenario.service(), databases, routes);
    }

    private static String encodedSecret() {
        return Base64.getEncoder().encodeToString(SECRET.getBytes(StandardCharsets.UTF_8));
    }
}
