package org.banyanhook.daemon.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/** Index of the line number of each value in a YAML text. Immutable. */
final class YamlLineIndex {

    private final Map<String, Integer> linesByPath;

    private YamlLineIndex(Map<String, Integer> linesByPath) {
        this.linesByPath = linesByPath;
    }

    static YamlLineIndex of(YAMLFactory factory, String text) throws IOException {
        Map<String, Integer> lines = new HashMap<>();
        try (JsonParser parser = factory.createParser(text)) {
            for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
                String path = parser.getParsingContext().pathAsPointer().toString();
                lines.putIfAbsent(path, parser.currentTokenLocation().getLineNr());
            }
        }
        return new YamlLineIndex(lines);
    }

    /** Returns the line of a value, counted from 1, or of its nearest enclosing value in the text. */
    int lineOf(String path) {
        String candidate = path;
        while (!candidate.isEmpty()) {
            Integer line = linesByPath.get(candidate);
            if (line != null) {
                return line;
            }
            candidate = candidate.substring(0, candidate.lastIndexOf('/'));
        }
        return 1;
    }
}
