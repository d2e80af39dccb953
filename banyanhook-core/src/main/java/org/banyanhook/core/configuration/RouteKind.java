package org.banyanhook.core.configuration;

/** The access that a route has to its database. */
public enum RouteKind {
    READ,
    IDEMPOTENT_WRITE,
    NON_IDEMPOTENT_WRITE;

    /** Returns whether statements of the route may change data. */
    public boolean writes() {
        return this != READ;
    }
}
