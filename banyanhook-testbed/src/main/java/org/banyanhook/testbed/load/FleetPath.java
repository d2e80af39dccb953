package org.banyanhook.testbed.load;

import java.util.concurrent.CompletableFuture;
import org.banyanhook.testbed.fleet.FleetCaller;
import org.banyanhook.testbed.fleet.FleetRequest;
import org.banyanhook.testbed.fleet.FleetRoutes;
import org.banyanhook.testbed.fleet.LocalFleet;
import org.banyanhook.testbed.http.JsonAnswer;

/** Sends statements through the daemons. Safe for use by several threads. */
final class FleetPath implements ServicePath {

    private final LocalFleet fleet;
    private final Balancer balancer;
    private final String readRoute;
    private final long deadlineMillis;

    FleetPath(LocalFleet fleet, Balancer balancer, String readRoute, long deadlineMillis) {
        this.fleet = fleet;
        this.balancer = balancer;
        this.readRoute = readRoute;
        this.deadlineMillis = deadlineMillis;
    }

    @Override
    public CompletableFuture<JsonAnswer> send(Request request) {
        String route = request.write() ? FleetRoutes.ONCE : readRoute;
        FleetRequest body = new FleetRequest(route, request.database(), request.statement(), deadlineMillis);
        return fleet.caller(request.account())
                .send(balancer.next(), body, request.session(), request.idempotencyKey())
                .exceptionally(FleetCaller::unreachable);
    }
}
