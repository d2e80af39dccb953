package org.banyanhook.gateway.fleet;

/** Is notified when the contents of the fleet directory change. */
@FunctionalInterface
public interface FleetListener {
    /** Handles a change; the directory provides the new state. */
    void onFleetChange();
}
