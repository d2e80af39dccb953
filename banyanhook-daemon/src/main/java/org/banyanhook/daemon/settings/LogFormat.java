package org.banyanhook.daemon.settings;

/** The form of log lines. */
public enum LogFormat {
    TEXT,
    JSON
}
