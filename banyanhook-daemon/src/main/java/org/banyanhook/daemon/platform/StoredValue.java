package org.banyanhook.daemon.platform;

/**
 * A value stored in the platform's service.
 *
 * @param key the key
 * @param value the text
 * @param revision the revision of the value; revisions increase across all keys
 */
public record StoredValue(String key, String value, long revision) {}
