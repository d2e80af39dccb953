package org.banyanhook.daemon.caller;

import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.configuration.Database;
import org.banyanhook.core.configuration.Route;
import org.banyanhook.core.configuration.RouteKind;
import org.banyanhook.core.configuration.Service;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.core.routing.PartitionTable;
import org.jspecify.annotations.Nullable;

/** Resolves the service, route and database of each request. */
final class RoutingFilter implements RequestFilter {

    private static final int MAXIMUM_IDEMPOTENCY_KEY_CHARACTERS = 255;

    @Override
    public CompletableFuture<CallerReply> handle(CallerExchange exchange, FilterChain next) throws RefusalException {
        Service service = exchange.service()
                .orElseThrow(() -> RefusalException.notRun(
                        RefusalKind.SERVICE_UNKNOWN, "There is no service '" + exchange.serviceName() + "'."));
        requireIdempotencyKeyLength(exchange.headers().idempotencyKey());
        if (!exchange.operation().continuesTransaction()) {
            Database database = resolveDatabase(
                    service, exchange.body().database(), exchange.body().partitionKey());
            exchange.database(database);
            exchange.session().requireCapacityFor(database.name());
        }
        String routeName = exchange.body().route();
        if (routeName != null) {
            Route route = service.route(routeName)
                    .orElseThrow(() -> RefusalException.notRun(
                            RefusalKind.ROUTE_UNKNOWN,
                            "Service " + service.name() + " has no route '" + routeName + "'."));
            requireIdempotencyKey(exchange, route);
            exchange.route(route);
        }
        return next.proceed(exchange);
    }

    private static Database resolveDatabase(Service service, @Nullable String name, @Nullable String partitionKey)
            throws RefusalException {
        if (name != null) {
            return service.database(name)
                    .orElseThrow(() -> RefusalException.notRun(
                            RefusalKind.DATABASE_UNKNOWN,
                            "Service " + service.name() + " has no database '" + name + "'."));
        }
        if (partitionKey == null || service.databases().isEmpty()) {
            throw RefusalException.notRun(
                    RefusalKind.DATABASE_UNKNOWN, "Service " + service.name() + " has no databases yet.");
        }
        return PartitionTable.databaseFor(service, partitionKey);
    }

    private static void requireIdempotencyKey(CallerExchange exchange, Route route) throws RefusalException {
        boolean required = exchange.operation() == CallerOperation.STATEMENT
                && route.kind() == RouteKind.NON_IDEMPOTENT_WRITE
                && exchange.account().isPresent();
        if (required && exchange.headers().idempotencyKey() == null) {
            throw RefusalException.notRun(
                    RefusalKind.IDEMPOTENCY_KEY_MISSING,
                    "Route '" + route.name() + "' is a non-idempotent write and requires an idempotency key.");
        }
    }

    private static void requireIdempotencyKeyLength(@Nullable String key) throws RefusalException {
        if (key != null && (key.isEmpty() || key.length() > MAXIMUM_IDEMPOTENCY_KEY_CHARACTERS)) {
            throw RefusalException.notRun(
                    RefusalKind.MALFORMED_REQUEST,
                    "The header Idempotency-Key must have 1 to " + MAXIMUM_IDEMPOTENCY_KEY_CHARACTERS + " characters.");
        }
    }
}
