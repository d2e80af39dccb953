package org.banyanhook.core.configuration;

/**
 * A member of a database group.
 *
 * @param name the name of the member, unique in the fleet
 * @param failureDomain the failure domain that it runs in
 * @param address its IP address and port, as in {@code 127.0.0.1:9000}
 * @param leaving true once operators or the platform announced its removal; it is assigned no new work
 */
public record BackendServer(String name, String failureDomain, String address, boolean leaving) {}
