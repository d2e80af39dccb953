package org.banyanhook.daemon.platform;

/**
 * An entry of the platform's list of virtual machines.
 *
 * @param name the name of the virtual machine
 * @param kind {@code entry} or {@code backend}
 * @param failureDomain the failure domain that it runs in
 * @param address the IP address and port of its peer port or backend server
 * @param state {@code live} or {@code leaving}
 */
public record VirtualMachine(String name, String kind, String failureDomain, String address, String state) {}
