package org.banyanhook.daemon.settings;

/**
 * The format and level of log lines.
 *
 * @param format the format, text or JSON
 * @param level the lowest level that is written: {@code error}, {@code warn}, {@code info} or {@code debug}
 */
public record LogSettings(LogFormat format, String level) {}
