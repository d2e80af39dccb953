package org.banyanhook.core.session;

import static com.google.common.base.Preconditions.checkArgument;
import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableSortedMap;
import java.util.Map;
import java.util.TreeMap;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.core.replication.LogPosition;

/**
 * What a session has seen: for each database the highest position that it wrote or read.
 *
 * <p>Immutable and safe for use by several threads.
 */
public final class SessionToken {

    /** How many databases one session may touch. */
    public static final int MAXIMUM_DATABASES = 64;

    /** How many bytes of UTF-8 the name of a database may have in a token. */
    public static final int MAXIMUM_NAME_BYTES = 63;

    private final String clientAccount;
    private final ImmutableSortedMap<String, LogPosition> positions;

    private SessionToken(String clientAccount, Map<String, LogPosition> positions) {
        this.clientAccount = clientAccount;
        this.positions = ImmutableSortedMap.copyOf(positions);
    }

    /**
     * Creates the token of a new session.
     *
     * @param clientAccount the client account that the session belongs to, empty on a route open to all
     * @return a token without positions
     */
    public static SessionToken start(String clientAccount) {
        return new SessionToken(requireNonNull(clientAccount, "clientAccount"), Map.of());
    }

    /** Returns the client account that the session belongs to. */
    public String clientAccount() {
        return clientAccount;
    }

    /** Returns the positions seen, by the name of the database. */
    public ImmutableSortedMap<String, LogPosition> positions() {
        return positions;
    }

    /**
     * Returns the place that a read of a database must cover.
     *
     * @param database the name of the database
     * @return the highest place seen, {@link LogPosition#START} if the session never used the database
     */
    public LogPosition position(String database) {
        LogPosition position = positions.get(requireNonNull(database, "database"));
        return position == null ? LogPosition.START : position;
    }

    /**
     * Checks before a statement is sent that its position will fit into the token.
     *
     * @param database the name of the database
     * @throws RefusalException of kind {@link RefusalKind#SESSION_FULL} if the session touched too many databases
     */
    public void requireCapacityFor(String database) throws RefusalException {
        if (!hasCapacityFor(database)) {
            throw RefusalException.notRun(
                    RefusalKind.SESSION_FULL,
                    "the session uses " + positions.size() + " databases and has no room for " + database);
        }
    }

    /**
     * Adds a position that the session wrote or read.
     *
     * @param database the name of the database
     * @param position the place; a place lower than the one known changes nothing
     * @return the new token
     * @throws IllegalArgumentException if {@link #requireCapacityFor} refuses the database
     */
    public SessionToken with(String database, LogPosition position) {
        checkArgument(hasCapacityFor(database), "the session has no room for database %s", database);
        TreeMap<String, LogPosition> merged = new TreeMap<>(positions);
        merged.merge(database, requireNonNull(position, "position"), LogPosition::latest);
        return new SessionToken(clientAccount, merged);
    }

    /**
     * Joins two tokens of one client account, as a caller with parallel requests needs.
     *
     * @param other the other token
     * @return a token with the higher place for each database
     * @throws IllegalArgumentException if the tokens belong to different client accounts or hold too many databases
     */
    public SessionToken merge(SessionToken other) {
        checkArgument(
                clientAccount.equals(other.clientAccount),
                "cannot merge a session of account %s with one of account %s",
                clientAccount,
                other.clientAccount);
        SessionToken merged = this;
        for (Map.Entry<String, LogPosition> entry : other.positions.entrySet()) {
            merged = merged.with(entry.getKey(), entry.getValue());
        }
        return merged;
    }

    private boolean hasCapacityFor(String database) {
        return positions.containsKey(database)
                || (positions.size() < MAXIMUM_DATABASES && database.getBytes(UTF_8).length <= MAXIMUM_NAME_BYTES);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof SessionToken that
                && clientAccount.equals(that.clientAccount)
                && positions.equals(that.positions);
    }

    @Override
    public int hashCode() {
        return 31 * clientAccount.hashCode() + positions.hashCode();
    }

    @Override
    public String toString() {
        return "SessionToken[databases=" + positions.size() + "]";
    }
}
