package org.banyanhook.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Writes answers as a table, JSON or YAML. Safe for use by several threads. */
final class AnswerWriter {

    private static final String COLUMN_GAP = "  ";

    private final JsonMapper jsonMapper = new JsonMapper();
    private final YAMLMapper yamlMapper = new YAMLMapper();

    String write(JsonNode answer, OutputFormat format) {
        try {
            return switch (format) {
                case TABLE -> table(answer);
                case JSON ->
                    jsonMapper.writerWithDefaultPrettyPrinter().writeValueAsString(answer) + System.lineSeparator();
                case YAML -> yamlMapper.writeValueAsString(answer);
            };
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("an answer that was read cannot be written", exception);
        }
    }

    private static String table(JsonNode answer) {
        JsonNode rows = answer.path("rows");
        Map<String, Integer> widths = widths(rows);
        StringBuilder table = new StringBuilder();
        if (!widths.isEmpty()) {
            List<String> header = new ArrayList<>(widths.keySet());
            appendLine(table, header, widths);
            rows.forEach(row -> appendLine(table, cells(row, header), widths));
        }
        if (answer.has("version")) {
            table.append("configuration version ")
                    .append(answer.get("version").asText())
                    .append(System.lineSeparator());
        }
        return table.toString();
    }

    private static Map<String, Integer> widths(JsonNode rows) {
        Map<String, Integer> widths = new LinkedHashMap<>();
        for (JsonNode row : rows) {
            row.properties()
                    .forEach(field -> widths.merge(
                            field.getKey(),
                            Math.max(
                                    field.getKey().length(),
                                    cell(field.getValue()).length()),
                            Math::max));
        }
        return widths;
    }

    private static List<String> cells(JsonNode row, List<String> header) {
        return header.stream().map(name -> cell(row.path(name))).toList();
    }

    private static String cell(JsonNode value) {
        if (!value.isArray()) {
            return value.asText();
        }
        List<String> elements = new ArrayList<>();
        value.forEach(element -> elements.add(element.asText()));
        return elements.isEmpty() ? "-" : String.join(",", elements);
    }

    private static void appendLine(StringBuilder table, List<String> cells, Map<String, Integer> widths) {
        StringBuilder line = new StringBuilder();
        int column = 0;
        for (int width : widths.values()) {
            String cell = cells.get(column++);
            line.append(cell).append(" ".repeat(width - cell.length())).append(COLUMN_GAP);
        }
        table.append(line.toString().stripTrailing()).append(System.lineSeparator());
    }
}
