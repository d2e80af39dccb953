package org.banyanhook.daemon.caller;

import com.google.common.collect.ImmutableMap;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.configuration.ClientAccount;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.configuration.GrantedKey;
import org.banyanhook.core.configuration.Route;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.jspecify.annotations.Nullable;

/**
 * Finds the client account of each request by its key, against the configuration in force when the request arrived.
 *
 * <p>Nothing is remembered about a connection: a key that was withdrawn is refused on its next request. A request
 * without a key passes only on a route open to all. Safe for use by several threads.
 */
final class AuthenticationFilter implements RequestFilter {

    private static final String SCHEME = "Bearer ";
    private static final int MAXIMUM_KEY_LENGTH = 512;

    private volatile KeyTable table = new KeyTable(FleetConfiguration.EMPTY, ImmutableMap.of());

    @Override
    public CompletableFuture<CallerReply> handle(CallerExchange exchange, FilterChain next) throws RefusalException {
        requireConfiguration(exchange.configuration());
        String authorization = exchange.headers().authorization();
        if (authorization == null) {
            requireOpenRoute(exchange);
        } else {
            exchange.account(accountOf(key(authorization), exchange.configuration()));
        }
        return next.proceed(exchange);
    }

    private static void requireConfiguration(FleetConfiguration configuration) throws RefusalException {
        if (configuration.version() == 0) {
            throw RefusalException.notRun(
                    RefusalKind.ENTRY_VM_NOT_READY, "This entry VM has read no configuration yet.");
        }
    }

    private static void requireOpenRoute(CallerExchange exchange) throws RefusalException {
        String routeName = exchange.body().route();
        Optional<Route> route = exchange.operation() == CallerOperation.STATEMENT && routeName != null
                ? exchange.service().flatMap(service -> service.route(routeName))
                : Optional.empty();
        if (!route.map(Route::openToAll).orElse(false)) {
            throw RefusalException.notRun(RefusalKind.KEY_MISSING, "The request carries no key.");
        }
        if (exchange.headers().idempotencyKey() != null) {
            throw RefusalException.notRun(
                    RefusalKind.KEY_MISSING, "An idempotency key belongs to a client account, and no key was sent.");
        }
    }

    private static String key(String authorization) throws RefusalException {
        boolean bearer = authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length());
        String key = bearer ? authorization.substring(SCHEME.length()).trim() : "";
        if (key.isEmpty() || key.length() > MAXIMUM_KEY_LENGTH) {
            throw RefusalException.notRun(
                    RefusalKind.KEY_MISSING, "The header Authorization carries no bearer key of a permitted length.");
        }
        return key;
    }

    private String accountOf(String key, FleetConfiguration configuration) throws RefusalException {
        String hash = Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
        if (configuration.withdrawnKeyHashes().contains(hash)) {
            throw RefusalException.notRun(RefusalKind.KEY_WITHDRAWN, "The key was withdrawn.");
        }
        String account = tableOf(configuration).accountByHash().get(hash);
        if (account == null) {
            throw RefusalException.notRun(RefusalKind.KEY_UNKNOWN, "The key is granted to no client account.");
        }
        return account;
    }

    private KeyTable tableOf(FleetConfiguration configuration) {
        KeyTable current = table;
        if (current.configuration() != configuration) {
            current = KeyTable.of(configuration);
            table = current;
        }
        return current;
    }

    /** The keys of one configuration. */
    private record KeyTable(FleetConfiguration configuration, ImmutableMap<String, String> accountByHash) {
        static KeyTable of(FleetConfiguration configuration) {
            Map<String, String> accounts = new HashMap<>();
            for (ClientAccount account : configuration.accounts()) {
                for (GrantedKey key : account.keys()) {
                    addUnlessShared(accounts, key.hash(), account.name());
                }
            }
            accounts.values().removeIf(String::isEmpty);
            return new KeyTable(configuration, ImmutableMap.copyOf(accounts));
        }

        /** A key that two accounts hold works for neither. */
        private static void addUnlessShared(Map<String, String> accounts, String hash, String account) {
            @Nullable String other = accounts.putIfAbsent(hash, account);
            if (other != null && !other.equals(account)) {
                accounts.put(hash, "");
            }
        }
    }
}
