package org.banyanhook.daemon.forwarding;

import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.configuration.Route;
import org.banyanhook.core.configuration.Service;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;

/** Finds the route of a forwarded request in the configuration of the home. */
final class ForwardedRoutes {

    private ForwardedRoutes() {}

    static Route find(FleetConfiguration configuration, String serviceName, String database, String route)
            throws RefusalException {
        Service service = configuration
                .service(serviceName)
                .orElseThrow(() -> RefusalException.notRun(
                        RefusalKind.SERVICE_UNKNOWN,
                        "The configuration of this home has no service " + serviceName + "."));
        if (service.database(database).isEmpty()) {
            throw RefusalException.notRun(
                    RefusalKind.DATABASE_UNKNOWN,
                    "Service " + serviceName + " has no database " + database + " in the configuration of this home.");
        }
        return service.route(route)
                .orElseThrow(() -> RefusalException.notRun(
                        RefusalKind.ROUTE_UNKNOWN, "The configuration of this home has no route " + route + "."));
    }
}
