package org.banyanhook.daemon.settings;

/**
 * The settings of the connection to the platform's service.
 *
 * @param address the IP address and port of the service
 */
public record PlatformSettings(String address) {}
