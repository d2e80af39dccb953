package org.banyanhook.daemon.primary;

/**
 * What one daemon believes about the primary of a database group. Only a hint: members refuse another term.
 *
 * @param database the name of the database
 * @param term the term of the primary
 * @param primaryMember the name of the backend server that is primary
 */
public record PrimaryView(String database, long term, String primaryMember) {}
