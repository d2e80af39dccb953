package org.banyanhook.core.configuration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A named route of a service, declared by operators.
 *
 * @param name the name that callers send
 * @param kind the access that statements of the route have
 * @param openToAll true if no key is needed
 * @param maximumAgeMillis the maximum age of the data of a read, 0 if it must be current
 */
public record Route(String name, RouteKind kind, boolean openToAll, long maximumAgeMillis) {
    public Route {
        checkArgument(!name.isEmpty(), "name of a route must not be empty");
        checkArgument(maximumAgeMillis >= 0, "maximumAgeMillis must not be negative, was %s", maximumAgeMillis);
    }
}
