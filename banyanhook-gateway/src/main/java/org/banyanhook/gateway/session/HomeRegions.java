package org.banyanhook.gateway.session;

import com.google.common.collect.Sets;
import java.util.Set;

/** Operations on sets of home regions. An empty set stands for all regions. */
final class HomeRegions {

    /** A name that no region has; it marks an empty intersection, since the empty set stands for all regions. */
    private static final String NO_REGION = "";

    private HomeRegions() {}

    /**
     * Intersects two sets of home regions.
     *
     * @param first one set, empty for all regions
     * @param second the other set, empty for all regions
     * @return the regions in both sets, empty for all regions
     */
    static Set<String> intersect(Set<String> first, Set<String> second) {
        if (first.isEmpty()) {
            return second;
        }
        if (second.isEmpty()) {
            return first;
        }
        Set<String> intersection = Set.copyOf(Sets.intersection(first, second));
        return intersection.isEmpty() ? Set.of(NO_REGION) : intersection;
    }
}
