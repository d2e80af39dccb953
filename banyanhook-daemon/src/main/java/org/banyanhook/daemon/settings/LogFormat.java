package org.banyanhook.daemon.settings;

/** The format of log lines. */
public enum LogFormat {
    TEXT,
    JSON
}
