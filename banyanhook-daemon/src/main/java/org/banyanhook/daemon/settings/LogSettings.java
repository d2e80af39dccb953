package org.banyanhook.daemon.settings;

/**
 * The form of log lines.
 *
 * @param format text or JSON
 * @param level the lowest level written: {@code error}, {@code warn}, {@code info} or {@code debug}
 */
public record LogSettings(LogFormat format, String level) {}
