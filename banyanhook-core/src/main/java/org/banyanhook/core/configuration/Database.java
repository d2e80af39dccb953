package org.banyanhook.core.configuration;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;

/**
 * A database group: one primary and its replicas.
 *
 * @param name the name of the database, unique in the fleet
 * @param members the backend servers of the group
 * @param connectionLimit the maximum number of connections that the whole fleet may have open to one member
 * @param slots the number of statements that a member runs concurrently
 */
public record Database(String name, List<BackendServer> members, int connectionLimit, int slots) {
    public Database {
        checkArgument(!members.isEmpty(), "database %s must have members", name);
        checkArgument(connectionLimit > 0, "connectionLimit of database %s must be positive", name);
        checkArgument(slots > 0, "slots of database %s must be positive", name);
        members = ImmutableList.copyOf(members);
    }

    /** Returns the number of members that form a majority of the group. */
    public int majoritySize() {
        return members.size() / 2 + 1;
    }

    /**
     * Finds a member.
     *
     * @param memberName the name of the backend server
     * @return the member, or empty if the group has no member of that name
     */
    public Optional<BackendServer> member(String memberName) {
        return members.stream()
                .filter(member -> member.name().equals(memberName))
                .findFirst();
    }
}
