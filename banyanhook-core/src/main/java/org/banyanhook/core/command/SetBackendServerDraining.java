package org.banyanhook.core.command;

import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Set;
import org.banyanhook.core.configuration.BackendServer;
import org.banyanhook.core.configuration.Database;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.configuration.Service;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;

/**
 * Drains a backend server or returns it to service.
 *
 * @param backendServer the name of the backend server
 * @param draining true to drain it, false to return it to service
 */
public record SetBackendServerDraining(String backendServer, boolean draining) implements ConfigurationChange {

    @Override
    public String text() {
        return (draining ? "drain" : "return") + " backend-server " + backendServer;
    }

    @Override
    public Set<String> subjects() {
        return ImmutableSet.of("backend-server/" + backendServer);
    }

    @Override
    public FleetConfiguration applyTo(FleetConfiguration configuration) throws RefusalException {
        boolean present = configuration.services().stream()
                .flatMap(service -> service.databases().stream())
                .anyMatch(database -> database.member(backendServer).isPresent());
        if (!present) {
            throw RefusalException.notRun(
                    RefusalKind.CONFIGURATION_INVALID,
                    "No database has a backend server " + backendServer + "; use one listed by 'show databases'.");
        }
        return configuration.toBuilder()
                .services(ConfigurationEdits.replaceMatching(
                        configuration.services(), service -> true, this::withDraining))
                .build();
    }

    private Service withDraining(Service original) {
        List<Database> databases = ConfigurationEdits.replaceMatching(
                original.databases(), database -> database.member(backendServer).isPresent(), this::withDraining);
        return new Service(original.name(), databases, original.routes());
    }

    private Database withDraining(Database original) {
        List<BackendServer> members = ConfigurationEdits.replaceMatching(
                original.members(),
                member -> member.name().equals(backendServer),
                member -> new BackendServer(member.name(), member.failureDomain(), member.address(), draining));
        return new Database(original.name(), members, original.connectionLimit(), original.slots());
    }
}
