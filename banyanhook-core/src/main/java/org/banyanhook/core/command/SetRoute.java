package org.banyanhook.core.command;

import com.google.common.collect.ImmutableSet;
import java.util.Set;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.configuration.Route;
import org.banyanhook.core.configuration.Service;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;

/**
 * Changes the maximum data age of a read route.
 *
 * @param service the name of the service
 * @param route the name of the route
 * @param maximumAgeMillis the maximum age of the data, in milliseconds; 0 if data must be current
 */
public record SetRoute(String service, String route, long maximumAgeMillis) implements ConfigurationChange {

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
        Service currentService = configuration
                .service(service)
                .orElseThrow(() -> RefusalException.notRun(
                        RefusalKind.SERVICE_UNKNOWN, "The configuration has no service " + service + "."));
        Route currentRoute = currentService
                .route(route)
                .orElseThrow(() -> RefusalException.notRun(
                        RefusalKind.ROUTE_UNKNOWN, "Service " + service + " has no route " + route + "."));
        if (currentRoute.kind().writes()) {
            throw RefusalException.notRun(
                    RefusalKind.CONFIGURATION_INVALID,
                    "Route " + route + " is a write route and has no maximum-age-millis; specify a read route.");
        }
        Route changedRoute =
                new Route(currentRoute.name(), currentRoute.kind(), currentRoute.openToAll(), maximumAgeMillis);
        Service changedService = new Service(
                currentService.name(),
                currentService.databases(),
                ConfigurationEdits.replaceMatching(
                        currentService.routes(), entry -> entry.name().equals(route), entry -> changedRoute));
        return configuration.toBuilder()
                .services(ConfigurationEdits.replaceMatching(
                        configuration.services(),
                        entry -> entry.name().equals(currentService.name()),
                        entry -> changedService))
                .build();
    }
}
