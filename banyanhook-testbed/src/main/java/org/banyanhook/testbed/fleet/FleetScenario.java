package org.banyanhook.testbed.fleet;

import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;

/**
 * The sizes of one user's fleet. Immutable.
 *
 * @param name the name of the scenario
 * @param service the name of the service
 * @param failureDomains the failure domains
 * @param databases the names of the databases; each has one member in every failure domain
 * @param slots how many statements a member runs at a time
 * @param connectionLimit how many connections may carry statements to one member
 * @param connectionCostMillis the cost of a new connection to a member
 * @param statementMillis how long a statement takes its slot
 * @param replicationLagMillis how old an entry is before a replica takes it over
 * @param domainLatencyMicros the one-way latency between failure domains of one region
 * @param regionLatencyMicros the one-way latency between regions
 * @param clientLatencyMicros the one-way latency between clients and entry VMs
 * @param readShare the share of offered requests that are reads, from 0 to 1
 * @param readAgeMillis the age that most reads accept
 * @param accounts the client accounts
 */
public record FleetScenario(
        String name,
        String service,
        List<Domain> failureDomains,
        List<String> databases,
        int slots,
        int connectionLimit,
        long connectionCostMillis,
        double statementMillis,
        long replicationLagMillis,
        long domainLatencyMicros,
        long regionLatencyMicros,
        long clientLatencyMicros,
        double readShare,
        long readAgeMillis,
        List<Account> accounts) {

    /**
     * A failure domain.
     *
     * @param name its name
     * @param region the region that it lies in
     */
    public record Domain(String name, String region) {}

    /**
     * A client account with the load that it offers.
     *
     * @param name its name
     * @param ratePerSecond its rate over the whole fleet
     * @param burst its burst over the whole fleet
     * @param offeredPerSecond how many requests it sends on average
     */
    public record Account(String name, double ratePerSecond, double burst, double offeredPerSecond) {

        /** Returns the key that the account sends. */
        public String key() {
            return "key-of-" + name;
        }
    }

    public FleetScenario {
        failureDomains = ImmutableList.copyOf(failureDomains);
        databases = ImmutableList.copyOf(databases);
        accounts = ImmutableList.copyOf(accounts);
    }

    /** Returns a copy with one more client account. */
    public FleetScenario withAccount(Account account) {
        List<Account> more =
                ImmutableList.<Account>builder().addAll(accounts).add(account).build();
        return new FleetScenario(
                name,
                service,
                failureDomains,
                databases,
                slots,
                connectionLimit,
                connectionCostMillis,
                statementMillis,
                replicationLagMillis,
                domainLatencyMicros,
                regionLatencyMicros,
                clientLatencyMicros,
                readShare,
                readAgeMillis,
                more);
    }

    /**
     * Reads a scenario of the resources.
     *
     * @param name {@code hanbit} or {@code vossberg}
     * @return the scenario
     * @throws IllegalArgumentException if there is none of that name
     */
    public static FleetScenario named(String name) {
        try (InputStream input = FleetScenario.class.getResourceAsStream(name + ".yaml")) {
            if (input == null) {
                throw new IllegalArgumentException("there is no scenario " + name + "; use hanbit or vossberg");
            }
            return new YAMLMapper().readValue(input, FleetScenario.class);
        } catch (IOException exception) {
            throw new IllegalArgumentException("scenario " + name + " cannot be read", exception);
        }
    }
}
