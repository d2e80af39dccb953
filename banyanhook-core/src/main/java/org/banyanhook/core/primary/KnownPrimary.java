package org.banyanhook.core.primary;

/**
 * The primary of a term, as known to one observer.
 *
 * @param term the term
 * @param member the name of the backend server
 */
public record KnownPrimary(long term, String member) {}
