package org.banyanhook.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Selects the log lines that concern one request: the lines that name it and, before each of them, the newest lines of
 * the same daemon that report the state known to it. Immutable.
 */
final class RequestTimeline {

    /** Events that change the known state of a daemon independently of a database group. */
    private static final Set<String> DAEMON_STATE_EVENTS = Set.of("configuration", "dependency", "rates", "evacuation");

    /** Events that change the known state of one database group. */
    private static final Set<String> GROUP_STATE_EVENTS =
            Set.of("primary", "promotion-record", "primary-suspicion", "promotion");

    private static final List<String> IDENTIFYING_FIELDS = List.of("request", "caller", "key");

    private static final Comparator<JsonNode> BY_TIME =
            Comparator.comparingLong(line -> line.path("t").asLong());

    private final String request;

    RequestTimeline(String request) {
        this.request = request;
    }

    /**
     * Selects the lines of the timeline.
     *
     * @param lines the lines of all daemons, in any order
     * @return the selected lines in the order of time, each once
     */
    List<JsonNode> select(List<JsonNode> lines) {
        List<JsonNode> ordered = new ArrayList<>(lines);
        ordered.sort(BY_TIME);
        List<JsonNode> timeline = new ArrayList<>();
        Map<String, JsonNode> latestStateLines = new LinkedHashMap<>();
        for (JsonNode line : ordered) {
            String vm = line.path("vm").asText();
            String event = line.path("event").asText();
            if (names(line)) {
                addStateLines(timeline, latestStateLines, vm, line.path("group").asText());
                timeline.add(line);
            } else if (DAEMON_STATE_EVENTS.contains(event)) {
                latestStateLines.put(vm + "/" + event + "/" + line.path("name").asText(), line);
            } else if (GROUP_STATE_EVENTS.contains(event)) {
                latestStateLines.put(vm + "/" + event + "/" + line.path("group").asText(), line);
            }
        }
        return timeline;
    }

    /**
     * Returns whether a line is about the request. A caller that is refused when it opens a session has no request id
     * yet, so that its address or the fingerprint of its key may be given instead.
     */
    private boolean names(JsonNode line) {
        return IDENTIFYING_FIELDS.stream()
                .anyMatch(field -> line.path(field).asText().equals(request));
    }

    private static void addStateLines(
            List<JsonNode> timeline, Map<String, JsonNode> latestStateLines, String vm, String group) {
        latestStateLines.values().stream()
                .filter(stateLine -> stateLine.path("vm").asText().equals(vm))
                .filter(stateLine ->
                        !GROUP_STATE_EVENTS.contains(stateLine.path("event").asText())
                                || stateLine.path("group").asText().equals(group))
                .filter(stateLine -> !timeline.contains(stateLine))
                .sorted(BY_TIME)
                .forEach(timeline::add);
    }

    /** Formats a line as text: its time, daemon and event, then the other fields. */
    static String format(JsonNode line) {
        StringBuilder text = new StringBuilder();
        text.append(Instant.ofEpochMilli(line.path("t").asLong()))
                .append("  ")
                .append(line.path("vm").asText())
                .append("  ")
                .append(line.path("event").asText());
        line.properties().forEach(field -> {
            if (!Set.of("t", "vm", "event").contains(field.getKey())) {
                text.append("  ")
                        .append(field.getKey())
                        .append('=')
                        .append(field.getValue().asText());
            }
        });
        return text.toString();
    }
}
