package org.banyanhook.daemon.platform;

/**
 * A value of the platform's service.
 *
 * @param key its key
 * @param value its text
 * @param revision its revision, which grows over all keys
 */
public record StoredValue(String key, String value, long revision) {}
