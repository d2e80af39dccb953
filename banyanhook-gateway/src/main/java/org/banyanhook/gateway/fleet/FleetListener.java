package org.banyanhook.gateway.fleet;

/** Is told when something that the fleet directory holds has changed. */
@FunctionalInterface
public interface FleetListener {
    /** Handles a change; the directory tells what holds now. */
    void onFleetChange();
}
