package org.banyanhook.daemon.settings;

/**
 * The platform's service.
 *
 * @param address its IP number and port
 */
public record PlatformSettings(String address) {}
