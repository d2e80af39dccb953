package org.banyanhook.core.command;

import java.util.List;
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
import org.banyanhook.core.key.KeyHashes;

/** Creates a small configuration for tests. */
final class TestConfigurations {

    private TestConfigurations() {}

    static FleetConfiguration small() {
        List<FailureDomain> domains =
                List.of(new FailureDomain("a", "r", 0.5, false), new FailureDomain("b", "r", 0.5, false));
        List<ClientAccount> accounts = List.of(
                new ClientAccount("plant", List.of(key("k1"), key("k2")), 10, 5, 1),
                new ClientAccount("audit", List.of(key("k3")), 1, 1, 1));
        Database database = new Database(
                "db-1",
                List.of(
                        new BackendServer("m1", "a", "127.0.0.1:1", false),
                        new BackendServer("m2", "b", "127.0.0.1:2", false)),
                16,
                2);
        Service service = new Service(
                "inject-db",
                List.of(database),
                List.of(
                        new Route("status", RouteKind.READ, false, 0),
                        new Route("append", RouteKind.NON_IDEMPOTENT_WRITE, false, 0)));
        return new FleetConfiguration(1, domains, accounts, List.of(service), Set.of(), List.of(), List.of());
    }

    static String hash(String id) {
        return KeyHashes.hash("secret of " + id);
    }

    private static GrantedKey key(String id) {
        return new GrantedKey(id, hash(id));
    }
}
