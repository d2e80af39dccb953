package org.banyanhook.cli;

import java.util.Locale;

/** How answers are written. */
enum OutputFormat {
    TABLE,
    JSON,
    YAML;

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT);
    }
}
