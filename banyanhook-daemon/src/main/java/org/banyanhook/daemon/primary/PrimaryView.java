package org.banyanhook.daemon.primary;

/**
 * The primary of a database group as known to this daemon.
 *
 * <p>It may be outdated, which is safe because members refuse requests of another term.
 *
 * @param database the name of the database
 * @param term the term of the primary
 * @param primaryMember the name of the backend server that is primary
 */
public record PrimaryView(String database, long term, String primaryMember) {}
