package org.banyanhook.gateway.backend;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
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
        forEachOrLog(DatabaseGroup::tick);
    }

    @Override
    public void onFleetChange() {
        Map<String, Map<String, MemberRecord>> byGroup = new HashMap<>();
        for (MemberRecord member : context.directory().members()) {
            byGroup.computeIfAbsent(member.entry().group(), name -> new HashMap<>())
                    .put(member.entry().member(), member);
        }
        byGroup.keySet().forEach(this::group);
        forEachOrLog(group -> group.update(byGroup.getOrDefault(group.name(), Map.of())));
    }

    /**
     * Performs an action on each group. One that fails must not keep it from being performed on the others, and groups
     * may be created meanwhile, for the next request of a caller that was answered.
     */
    private void forEachOrLog(Consumer<DatabaseGroup> action) {
        for (DatabaseGroup group : List.copyOf(groups.values())) {
            try {
                action.accept(group);
            } catch (RuntimeException exception) {
                context.log()
                        .line("fault")
                        .with("group", group.name())
                        .with("reason", exception.toString())
                        .write();
            }
        }
    }

    private void clearPositionHistories() {
        context.log()
                .line("clock")
                .with("change", "jump")
                .with("reason", "the machine was suspended or its time of day was set")
                .write();
        forEachOrLog(DatabaseGroup::clearPositionHistory);
    }
}
