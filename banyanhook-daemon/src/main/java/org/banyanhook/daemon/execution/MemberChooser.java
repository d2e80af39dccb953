package org.banyanhook.daemon.execution;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.banyanhook.core.configuration.Database;
import org.banyanhook.core.configuration.Route;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.core.replication.LogPosition;
import org.banyanhook.daemon.configuration.ConfigurationSource;
import org.banyanhook.daemon.primary.PrimaryDirectory;
import org.banyanhook.daemon.primary.PrimaryView;

/** Chooses the member of a database group that executes a statement. Safe for use by several threads. */
public final class MemberChooser {

    private final ConfigurationSource configuration;
    private final PrimaryDirectory directory;
    private final MemberAvailability availability;

    /**
     * Creates a chooser.
     *
     * @param configuration supplies the members
     * @param directory supplies the primary and the replicas that may serve reads
     * @param availability decides which backend servers accept new requests
     */
    public MemberChooser(
            ConfigurationSource configuration, PrimaryDirectory directory, MemberAvailability availability) {
        this.configuration = requireNonNull(configuration, "configuration");
        this.directory = requireNonNull(directory, "directory");
        this.availability = requireNonNull(availability, "availability");
    }

    /**
     * Finds a database.
     *
     * @param name the name of the database
     * @return the database
     * @throws RefusalException of kind {@code DATABASE_UNKNOWN} if the configuration has none of that name
     */
    public Database database(String name) throws RefusalException {
        return configuration
                .current()
                .database(name)
                .orElseThrow(() -> RefusalException.notRun(
                        RefusalKind.DATABASE_UNKNOWN, "The configuration has no database named '" + name + "'."));
    }

    /**
     * Chooses the member for a statement.
     *
     * @param database the database group
     * @param route the route of the statement
     * @param sessionPosition the log position that the answer must cover
     * @param replicaAllowed false if a replica has already failed to serve the statement
     * @return the choice, or empty while no primary that accepts requests is known
     */
    Optional<MemberChoice> choose(Database database, Route route, LogPosition sessionPosition, boolean replicaAllowed) {
        Optional<PrimaryView> primary = directory.primary(database.name());
        if (primary.isEmpty()) {
            return Optional.empty();
        }
        long term = primary.get().term();
        if (replicaAllowed && !route.kind().writes() && route.maximumAgeMillis() > 0) {
            Optional<MemberChoice> replica = directory
                    .selectReplica(database.name(), sessionPosition, route.maximumAgeMillis())
                    .flatMap(database::member)
                    .filter(member -> availability.acceptsRequests(member, false))
                    .map(member -> new MemberChoice(
                            database, member, term, true, "replica covers the session position within the age limit"));
            if (replica.isPresent()) {
                return replica;
            }
        }
        return database.member(primary.get().primaryMember())
                .filter(member -> availability.acceptsRequests(member, true))
                .map(member -> new MemberChoice(database, member, term, false, "primary of the known term"));
    }
}
