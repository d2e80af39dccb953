package org.banyanhook.gateway.session;

import java.util.List;
import java.util.Optional;
import org.banyanhook.core.configuration.ClientAccount;
import org.banyanhook.core.configuration.DatabaseRoute;
import org.banyanhook.core.configuration.SessionConfiguration;
import org.banyanhook.gateway.fleet.FleetDirectory;
import org.jspecify.annotations.Nullable;

/**
 * The route and the client account of a session by the configuration in force, evaluated again after each change of the
 * configuration. Confined to the event loop.
 */
final class SessionAuthorization {

    /** The account of callers without a granted key on routes that are open to all. */
    static final ClientAccount PUBLIC_ACCOUNT = new ClientAccount("public", List.of(), 0, 0, 1);

    private final FleetDirectory directory;
    private final String databaseName;
    private final String key;
    private @Nullable SessionConfiguration evaluated;
    private Optional<ClientAccount> keyAccount = Optional.empty();
    private Optional<Grant> grant = Optional.empty();

    /** What a session may use. */
    record Grant(DatabaseRoute route, ClientAccount account) {

        /** Returns whether the rate of an account limits the session. */
        boolean isRateLimited() {
            return account != PUBLIC_ACCOUNT;
        }
    }

    SessionAuthorization(FleetDirectory directory, String databaseName, String key) {
        this.directory = directory;
        this.databaseName = databaseName;
        this.key = key;
    }

    /** Returns what the session may use now, or empty if its key or its database is not configured. */
    Optional<Grant> current() {
        evaluate();
        return grant;
    }

    /** Returns whether the account of a transaction may still be used. The route holds until the transaction ends. */
    boolean permits(OpenTransaction transaction) {
        evaluate();
        ClientAccount account = transaction.clientAccount();
        return account == PUBLIC_ACCOUNT
                || keyAccount
                        .filter(granted -> granted.name().equals(account.name()))
                        .isPresent();
    }

    private void evaluate() {
        SessionConfiguration configuration = directory.configuration();
        if (evaluated == configuration) {
            return;
        }
        evaluated = configuration;
        keyAccount = directory.accountOf(key);
        grant = configuration
                .route(databaseName)
                .flatMap(route -> keyAccount
                        .or(() -> route.openToAll() ? Optional.of(PUBLIC_ACCOUNT) : Optional.empty())
                        .map(account -> new Grant(route, account)));
    }
}
