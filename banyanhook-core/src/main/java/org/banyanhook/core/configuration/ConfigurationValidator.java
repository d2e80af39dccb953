package org.banyanhook.core.configuration;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Stream;

/** Validates the consistency of a configuration as a whole. Not thread-safe. */
public final class ConfigurationValidator {

    private static final double RATE_SHARE_SUM_TOLERANCE = 1e-9;

    private final FleetConfiguration configuration;
    private final ImmutableList.Builder<String> problems = ImmutableList.builder();

    private ConfigurationValidator(FleetConfiguration configuration) {
        this.configuration = configuration;
    }

    /**
     * Finds the problems that make a configuration unusable.
     *
     * @param configuration the configuration
     * @return one message per problem, with its remedy; empty if the configuration is valid
     */
    public static List<String> problems(FleetConfiguration configuration) {
        return new ConfigurationValidator(configuration).findProblems();
    }

    private List<String> findProblems() {
        checkNames();
        checkKeys();
        checkFailureDomains();
        checkMembers();
        return problems.build();
    }

    private void checkNames() {
        checkUnique("failure domain", configuration.failureDomains().stream(), FailureDomain::name);
        checkUnique("client account", configuration.accounts().stream(), ClientAccount::name);
        checkUnique("service", configuration.services().stream(), Service::name);
        checkUnique("database", databases(), Database::name);
        checkUnique("backend server", members(), BackendServer::name);
        for (Service service : configuration.services()) {
            checkUnique("route of service " + service.name(), service.routes().stream(), Route::name);
        }
    }

    private void checkKeys() {
        for (ClientAccount account : configuration.accounts()) {
            checkUnique("key of client account " + account.name(), account.keys().stream(), GrantedKey::id);
        }
        Set<String> seen = new HashSet<>();
        for (ClientAccount account : configuration.accounts()) {
            for (GrantedKey key : account.keys()) {
                if (!seen.add(key.hash())) {
                    problems.add("Key " + key.id() + " of client account " + account.name()
                            + " is granted more than once; grant each key once.");
                }
            }
        }
    }

    private void checkFailureDomains() {
        List<FailureDomain> domains = configuration.failureDomains();
        double shares = domains.stream().mapToDouble(FailureDomain::rateShare).sum();
        if (shares > 1 + RATE_SHARE_SUM_TOLERANCE) {
            problems.add("The rateShare values of all failure domains add up to " + shares
                    + "; lower them to a sum of at most 1, or accounts get more than their rate.");
        }
        if (!domains.isEmpty() && domains.stream().allMatch(FailureDomain::takenOut)) {
            problems.add("All failure domains would be taken out; return one first.");
        }
    }

    private void checkMembers() {
        members()
                .filter(member ->
                        configuration.failureDomain(member.failureDomain()).isEmpty())
                .forEach(member -> problems.add("Backend server " + member.name() + " is in failure domain "
                        + member.failureDomain() + ", which is not declared; declare it."));
    }

    private Stream<Database> databases() {
        return configuration.services().stream().flatMap(service -> service.databases().stream());
    }

    private Stream<BackendServer> members() {
        return databases().flatMap(database -> database.members().stream());
    }

    private <T> void checkUnique(String what, Stream<T> elements, Function<T, String> name) {
        Set<String> seen = new HashSet<>();
        elements.map(name)
                .filter(value -> !seen.add(value))
                .forEach(value -> problems.add("Duplicate " + what + " " + value + "; rename one."));
    }
}
