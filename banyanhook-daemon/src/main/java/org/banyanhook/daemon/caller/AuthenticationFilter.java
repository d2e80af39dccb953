package org.banyanhook.daemon.caller;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.configuration.Route;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;

/**
 * Authenticates each request by its key and sets the client account of the exchange.
 *
 * <p>Authentication results are not cached per connection, so a withdrawn key is refused on its next request. A request
 * without a key is accepted only as a single statement on a route that is open to all, and without an idempotency key.
 * Thread-safe.
 */
final class AuthenticationFilter implements RequestFilter {

    private static final String BEARER_PREFIX = "Bearer ";
    private static final int MAXIMUM_KEY_CHARACTERS = 512;

    private final AccountAuthenticator authenticator;

    AuthenticationFilter(AccountAuthenticator authenticator) {
        this.authenticator = requireNonNull(authenticator, "authenticator");
    }

    @Override
    public CompletableFuture<CallerReply> handle(CallerExchange exchange, FilterChain next) throws RefusalException {
        requireConfiguration(exchange.configuration());
        String authorization = exchange.headers().authorization();
        if (authorization == null) {
            requireRouteOpenToAll(exchange);
        } else {
            exchange.account(authenticator.authenticate(parseKey(authorization)).name());
        }
        return next.proceed(exchange);
    }

    private static void requireConfiguration(FleetConfiguration configuration) throws RefusalException {
        if (configuration.version() == 0) {
            throw RefusalException.notRun(
                    RefusalKind.ENTRY_VM_NOT_READY, "This entry VM has not read a configuration yet.");
        }
    }

    private static void requireRouteOpenToAll(CallerExchange exchange) throws RefusalException {
        String routeName = exchange.body().route();
        Optional<Route> route = exchange.operation() == CallerOperation.STATEMENT && routeName != null
                ? exchange.service().flatMap(service -> service.route(routeName))
                : Optional.empty();
        if (!route.map(Route::openToAll).orElse(false)) {
            throw RefusalException.notRun(RefusalKind.KEY_MISSING, "The request has no key.");
        }
        if (exchange.headers().idempotencyKey() != null) {
            throw RefusalException.notRun(
                    RefusalKind.KEY_MISSING,
                    "The header Idempotency-Key requires a client account, but the request has no key.");
        }
    }

    private static String parseKey(String authorization) throws RefusalException {
        boolean bearer = authorization.regionMatches(true, 0, BEARER_PREFIX, 0, BEARER_PREFIX.length());
        String key = bearer ? authorization.substring(BEARER_PREFIX.length()).trim() : "";
        if (key.isEmpty() || key.length() > MAXIMUM_KEY_CHARACTERS) {
            throw RefusalException.notRun(
                    RefusalKind.KEY_MISSING, "The header Authorization has no bearer key of a permitted length.");
        }
        return key;
    }
}
