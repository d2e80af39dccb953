package org.banyanhook.core.command;

import com.google.common.collect.ImmutableSet;
import java.util.Set;
import org.banyanhook.core.configuration.FailureDomain;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;

/**
 * Takes a failure domain out of service or returns it to service.
 *
 * @param failureDomain the name of the failure domain
 * @param takenOut true to take it out of service, false to return it
 */
public record SetFailureDomainTakenOut(String failureDomain, boolean takenOut) implements ConfigurationChange {

    @Override
    public String text() {
        return (takenOut ? "take-out" : "return") + " failure-domain " + failureDomain;
    }

    @Override
    public Set<String> subjects() {
        return ImmutableSet.of("failure-domain/" + failureDomain);
    }

    @Override
    public FleetConfiguration applyTo(FleetConfiguration configuration) throws RefusalException {
        if (configuration.failureDomain(failureDomain).isEmpty()) {
            throw RefusalException.notRun(
                    RefusalKind.CONFIGURATION_INVALID,
                    "The configuration has no failure domain " + failureDomain
                            + "; use one listed by 'show failure-domains'.");
        }
        return configuration.toBuilder()
                .failureDomains(ConfigurationEdits.replaceMatching(
                        configuration.failureDomains(),
                        entry -> entry.name().equals(failureDomain),
                        this::withTakenOut))
                .build();
    }

    private FailureDomain withTakenOut(FailureDomain original) {
        return new FailureDomain(original.name(), original.region(), original.rateShare(), takenOut);
    }
}
