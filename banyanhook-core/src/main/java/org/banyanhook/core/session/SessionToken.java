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
 * The highest log position of each database that a session has written or read.
 *
 * <p>Immutable and thread-safe.
 */
public final class SessionToken {

    /** The maximum number of databases in one session. */
    public static final int MAXIMUM_DATABASES = 64;

    /** The maximum length of a database name in a token, in bytes of UTF-8. */
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
     * @param clientAccount the client account that owns the session, empty on a public route
     * @return a token without positions
     */
    public static SessionToken start(String clientAccount) {
        return new SessionToken(requireNonNull(clientAccount, "clientAccount"), Map.of());
    }

    /** Returns the client account that owns the session. */
    public String clientAccount() {
        return clientAccount;
    }

    /** Returns the positions that the session has seen, by database name. */
    public ImmutableSortedMap<String, LogPosition> positions() {
        return positions;
    }

    /**
     * Returns the log position that a read of a database must cover.
     *
     * @param database the name of the database
     * @return the highest position seen, {@link LogPosition#START} if the session has not used the database
     */
    public LogPosition position(String database) {
        LogPosition position = positions.get(requireNonNull(database, "database"));
        return position == null ? LogPosition.START : position;
    }

    /**
     * Checks, before a statement is sent, that the token can hold the position of its database.
     *
     * @param database the name of the database
     * @throws RefusalException of kind {@link RefusalKind#SESSION_FULL} if the session uses too many databases, or the
     *     name of the database is too long
     */
    public void requireCapacityFor(String database) throws RefusalException {
        if (!hasCapacityFor(database)) {
            throw RefusalException.notRun(
                    RefusalKind.SESSION_FULL,
                    "the session uses " + positions.size() + " databases and cannot add database " + database);
        }
    }

    /**
     * Returns a token with a position that the session wrote or read.
     *
     * @param database the name of the database
     * @param position the log position; a position lower than the known one changes nothing
     * @return the new token
     * @throws IllegalArgumentException if {@link #requireCapacityFor} refuses the database
     */
    public SessionToken with(String database, LogPosition position) {
        checkArgument(hasCapacityFor(database), "the session token cannot hold database %s", database);
        TreeMap<String, LogPosition> merged = new TreeMap<>(positions);
        merged.merge(database, requireNonNull(position, "position"), LogPosition::latest);
        return new SessionToken(clientAccount, merged);
    }

    /**
     * Merges two tokens of one client account, for a caller that sends requests in parallel.
     *
     * @param other the other token
     * @return a token with the higher position of each database
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
