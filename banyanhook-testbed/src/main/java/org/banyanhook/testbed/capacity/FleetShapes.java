package org.banyanhook.testbed.capacity;

import com.google.common.collect.ImmutableList;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.IntStream;
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
import org.banyanhook.core.membership.Member;
import org.banyanhook.core.membership.MemberState;

/** Makes fleets of any size for experiments; the same size gives the same fleet. */
public final class FleetShapes {

    /** Daemons of the target. */
    public static final int TARGET_ENTRY_VMS = 2_200;

    /** Databases of the target. */
    public static final int TARGET_DATABASES = 4_200;

    /** Failure domains of the target. */
    public static final int TARGET_FAILURE_DOMAINS = 24;

    /** Statements a second of the target, over the whole fleet. */
    public static final double TARGET_STATEMENTS_PER_SECOND = 700_000;

    /** Configuration changes a day of the target. */
    public static final double TARGET_CHANGES_PER_DAY = 1_600;

    private static final int MEMBERS_PER_DATABASE = 3;
    private static final int DATABASES_PER_SERVICE = 3;
    private static final int CONNECTIONS_PER_DATABASE = 40;
    private static final int SLOTS_PER_DATABASE = 3;
    private static final String SECRET = "MDEyMzQ1Njc4OTAxMjM0NTY3ODkwMTIzNDU2Nzg5MDE=";

    private FleetShapes() {}

    /** Returns the name of an entry VM by its number. */
    public static String entryVm(int number) {
        return failureDomain(number) + "-vm-" + number;
    }

    /** Returns the name of the failure domain of an entry VM or member by its number. */
    public static String failureDomain(int number) {
        return "domain-" + number % TARGET_FAILURE_DOMAINS;
    }

    /** Returns an entry VM as its peers know it. */
    public static Member member(int number) {
        return new Member(
                entryVm(number), failureDomain(number), peerAddress(number), 1_000L + number, MemberState.ALIVE);
    }

    /** Returns the address of the peer links of an entry VM. */
    public static String peerAddress(int number) {
        return "10.0." + number / 250 + "." + (1 + number % 250) + ":7000";
    }

    /** Returns the name of a database by its number. */
    public static String database(int number) {
        return "database-" + number;
    }

    /** Returns the name of a client account by its number. */
    public static String account(int number) {
        return "account-" + number;
    }

    /**
     * Returns a configuration.
     *
     * @param databases how many databases it has, three to a service
     * @param accounts how many client accounts it has, two keys each
     * @return the configuration, version 1
     */
    public static FleetConfiguration configuration(int databases, int accounts) {
        return new FleetConfiguration(
                1,
                IntStream.range(0, TARGET_FAILURE_DOMAINS)
                        .mapToObj(FleetShapes::domain)
                        .toList(),
                IntStream.range(0, accounts)
                        .mapToObj(FleetShapes::clientAccount)
                        .toList(),
                services(databases),
                java.util.Set.of(),
                List.of(new SessionSecret("secret-1", SECRET)),
                List.of());
    }

    /** Returns a database group by its number. */
    public static Database databaseGroup(int number) {
        List<BackendServer> members = IntStream.range(0, MEMBERS_PER_DATABASE)
                .mapToObj(index -> backendServer(number, index))
                .toList();
        return new Database(database(number), members, CONNECTIONS_PER_DATABASE, SLOTS_PER_DATABASE);
    }

    private static BackendServer backendServer(int database, int index) {
        String address = "10.1." + database / 250 + "." + (1 + database % 250) + ":" + (5000 + index);
        return new BackendServer(database(database) + "-" + index, failureDomain(database + index), address, false);
    }

    private static List<Service> services(int databases) {
        ImmutableList.Builder<Service> services = ImmutableList.builder();
        for (int first = 0; first < databases; first += DATABASES_PER_SERVICE) {
            int last = Math.min(databases, first + DATABASES_PER_SERVICE);
            List<Database> groups = IntStream.range(first, last)
                    .mapToObj(FleetShapes::databaseGroup)
                    .toList();
            services.add(new Service("service-" + first / DATABASES_PER_SERVICE, groups, routes()));
        }
        return services.build();
    }

    private static List<Route> routes() {
        return List.of(
                new Route("read", RouteKind.READ, false, 5_000),
                new Route("write", RouteKind.NON_IDEMPOTENT_WRITE, false, 0));
    }

    private static FailureDomain domain(int number) {
        return new FailureDomain(failureDomain(number), "region-" + number % 7, 1.0 / TARGET_FAILURE_DOMAINS, false);
    }

    private static ClientAccount clientAccount(int number) {
        List<GrantedKey> keys = List.of(
                new GrantedKey("first", hash(number + "-first")), new GrantedKey("second", hash(number + "-second")));
        return new ClientAccount(account(number), keys, 100, 200, 1);
    }

    private static String hash(String key) {
        return com.google.common.hash.Hashing.sha256()
                .hashString(key, StandardCharsets.UTF_8)
                .toString();
    }
}
