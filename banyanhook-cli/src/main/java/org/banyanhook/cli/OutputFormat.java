package org.banyanhook.cli;

import java.util.Locale;

/** The output formats for responses. */
enum OutputFormat {
    TABLE,
    JSON,
    YAML;

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT);
    }
}
