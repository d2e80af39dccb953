package org.banyanhook.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Formats responses as a table, JSON or YAML. Thread-safe. */
final class ResponseFormatter {

    private static final String COLUMN_GAP = "  ";

    private final JsonMapper jsonMapper = new JsonMapper();
    private final YAMLMapper yamlMapper = new YAMLMapper();

    String format(JsonNode response, OutputFormat format) {
        try {
            return switch (format) {
                case TABLE -> formatTable(response);
                case JSON ->
                    jsonMapper.writerWithDefaultPrettyPrinter().writeValueAsString(response) + System.lineSeparator();
                case YAML -> yamlMapper.writeValueAsString(response);
            };
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("cannot format a response that was parsed", exception);
        }
    }

    private static String formatTable(JsonNode response) {
        JsonNode rows = response.path("rows");
        Map<String, Integer> widths = columnWidths(rows);
        StringBuilder table = new StringBuilder();
        if (!widths.isEmpty()) {
            List<String> header = new ArrayList<>(widths.keySet());
            appendLine(table, header, widths);
            rows.forEach(row -> appendLine(table, formatRow(row, header), widths));
        }
        if (response.has("version")) {
            table.append("configuration version ")
                    .append(response.get("version").asText())
                    .append(System.lineSeparator());
        }
        return table.toString();
    }

    private static Map<String, Integer> columnWidths(JsonNode rows) {
        Map<String, Integer> widths = new LinkedHashMap<>();
        for (JsonNode row : rows) {
            row.properties()
                    .forEach(field -> widths.merge(
                            field.getKey(),
                            Math.max(
                                    field.getKey().length(),
                                    formatCell(field.getValue()).length()),
                            Math::max));
        }
        return widths;
    }

    private static List<String> formatRow(JsonNode row, List<String> header) {
        return header.stream().map(name -> formatCell(row.path(name))).toList();
    }

    private static String formatCell(JsonNode value) {
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
