package org.banyanhook.gateway.session;

import java.util.concurrent.TimeUnit;
import org.banyanhook.core.configuration.DatabaseRoute;
import org.banyanhook.core.configuration.ReadFreshness;
import org.banyanhook.core.configuration.SessionConfiguration;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.gateway.backend.ConnectionRequest;
import org.jspecify.annotations.Nullable;

/** Derives from the configuration what a statement requires of the member that runs it. */
final class StatementRequirements {

    private StatementRequirements() {}

    /** Returns whether only the primary may run a statement, or a transaction, that writes or not. */
    static boolean requiresPrimary(DatabaseRoute route, boolean writes) {
        return route.freshness() == ReadFreshness.CURRENT || writes;
    }

    /**
     * Returns the requirements.
     *
     * @param configuration the configuration in force
     * @param route the route of the session
     * @param account the client account
     * @param primaryOnly whether only the primary qualifies
     * @param sessionPosition the log position that the session must see, or null for none
     */
    static ConnectionRequest.Requirements of(
            SessionConfiguration configuration,
            DatabaseRoute route,
            String account,
            boolean primaryOnly,
            @Nullable LogPosition sessionPosition) {
        return new ConnectionRequest.Requirements(
                primaryOnly,
                TimeUnit.MILLISECONDS.toNanos(route.maximumAgeMillis()),
                sessionPosition,
                HomeRegions.intersect(route.homeRegions(), configuration.regionsOf(account)));
    }
}
