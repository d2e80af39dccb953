package org.banyanhook.core.configuration;

/**
 * One member of a database group.
 *
 * @param name the name of the member, unique in the fleet
 * @param failureDomain the failure domain that it runs in
 * @param address its IP number and port, as in {@code 127.0.0.1:9000}
 * @param leaving true once operators or the platform announced that it leaves; it gets no new work
 */
public record BackendServer(String name, String failureDomain, String address, boolean leaving) {}
