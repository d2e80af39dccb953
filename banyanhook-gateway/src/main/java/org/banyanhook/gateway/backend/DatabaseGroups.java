package org.banyanhook.gateway.backend;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.banyanhook.gateway.fleet.FleetDirectory.MemberRecord;
import org.banyanhook.gateway.fleet.FleetListener;

/** The database groups of the fleet, updated from the directory. Used on the event loop only. */
public final class DatabaseGroups implements FleetListener {

    private final GroupContext context;
    private final Map<String, DatabaseGroup> groups = new HashMap<>();

    /**
     * Creates a set without groups.
     *
     * @param context the dependencies that all groups share
     */
    public DatabaseGroups(GroupContext context) {
        this.context = context;
        context.clock().addJumpListener(this::clearPositionHistories);
    }

    /** Returns the group of a name, which is created if necessary and may have no members yet. */
    public DatabaseGroup group(String name) {
        return groups.computeIfAbsent(name, groupName -> new DatabaseGroup(groupName, context));
    }

    /** Returns all groups. */
    public Collection<DatabaseGroup> all() {
        return groups.values();
    }

    /** Performs the periodic checks of all groups. */
    public void tick() {
        groups.values().forEach(DatabaseGroup::tick);
    }

    @Override
    public void onFleetChange() {
        Map<String, Map<String, MemberRecord>> byGroup = new HashMap<>();
        for (MemberRecord member : context.directory().members()) {
            byGroup.computeIfAbsent(member.entry().group(), name -> new HashMap<>())
                    .put(member.entry().member(), member);
        }
        byGroup.keySet().forEach(this::group);
        groups.forEach((name, group) -> updateOrLog(group, byGroup.getOrDefault(name, Map.of())));
    }

    /** Updates a group; an entry that one group cannot apply must not keep the others from being updated. */
    private void updateOrLog(DatabaseGroup group, Map<String, MemberRecord> members) {
        try {
            group.update(members);
        } catch (RuntimeException exception) {
            context.log()
                    .line("fault")
                    .with("group", group.name())
                    .with("reason", exception.toString())
                    .write();
        }
    }

    private void clearPositionHistories() {
        context.log()
                .line("clock")
                .with("change", "jump")
                .with("reason", "the machine was suspended or its time of day was set")
                .write();
        groups.values().forEach(DatabaseGroup::clearPositionHistory);
    }
}
