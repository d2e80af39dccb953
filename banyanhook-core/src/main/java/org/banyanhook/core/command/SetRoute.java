package org.banyanhook.core.command;

import com.google.common.collect.ImmutableSet;
import java.util.Set;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.configuration.Route;
import org.banyanhook.core.configuration.Service;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;

/**
 * Changes how old the data of a read route may be.
 *
 * @param service the name of the service
 * @param route the name of the route
 * @param maximumAgeMillis the age allowed, in milliseconds; 0 if data must be current
 */
public record SetRoute(String service, String route, long maximumAgeMillis) implements Change {

    @Override
    public String text() {
        return "set route " + service + " " + route + " maximum-age-millis=" + maximumAgeMillis;
    }

    @Override
    public Set<String> subjects() {
        return ImmutableSet.of("route/" + service + "/" + route);
    }

    @Override
    public FleetConfiguration applyTo(FleetConfiguration configuration) throws RefusalException {
        Service found = configuration
                .service(service)
                .orElseThrow(() -> RefusalException.notRun(
                        RefusalKind.SERVICE_UNKNOWN, "The configuration has no service " + service + "."));
        Route original = found.route(route)
                .orElseThrow(() -> RefusalException.notRun(
                        RefusalKind.ROUTE_UNKNOWN, "Service " + service + " has no route " + route + "."));
        if (original.kind().writes()) {
            throw RefusalException.notRun(
                    RefusalKind.CONFIGURATION_INVALID,
                    "Route " + route + " writes, so it takes no maximum-age-millis; name a read route.");
        }
        Route changed = new Route(original.name(), original.kind(), original.openToAll(), maximumAgeMillis);
        Service service = new Service(
                found.name(),
                found.databases(),
                Edits.replace(found.routes(), entry -> entry.name().equals(route), entry -> changed));
        return configuration.toBuilder()
                .services(Edits.replace(
                        configuration.services(), entry -> entry.name().equals(found.name()), entry -> service))
                .build();
    }
}
