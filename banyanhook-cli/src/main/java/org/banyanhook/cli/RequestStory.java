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
 * The lines of a log that concern one request: those that name it, and before each of them the newest lines of the same
 * daemon that say what it believed. Immutable.
 */
final class RequestStory {

    /** Lines that change what a daemon believes, whatever group they concern. */
    private static final Set<String> BELIEFS_OF_ALL = Set.of("configuration", "dependency", "rates", "evacuation");

    /** Lines that change what a daemon believes of one group. */
    private static final Set<String> BELIEFS_OF_GROUP =
            Set.of("primary", "promotion-record", "primary-suspicion", "promotion");

    private static final Comparator<JsonNode> TIME =
            Comparator.comparingLong(line -> line.path("t").asLong());

    private final String request;

    RequestStory(String request) {
        this.request = request;
    }

    /**
     * Picks the lines of the story.
     *
     * @param lines the lines of all daemons, in any order
     * @return the lines of the story in the order of time, each once
     */
    List<JsonNode> tell(List<JsonNode> lines) {
        List<JsonNode> ordered = new ArrayList<>(lines);
        ordered.sort(TIME);
        List<JsonNode> story = new ArrayList<>();
        Map<String, JsonNode> beliefs = new LinkedHashMap<>();
        for (JsonNode line : ordered) {
            String vm = line.path("vm").asText();
            String event = line.path("event").asText();
            if (line.path("request").asText().equals(request)) {
                addBeliefs(story, beliefs, vm, line.path("group").asText());
                story.add(line);
            } else if (BELIEFS_OF_ALL.contains(event)) {
                beliefs.put(vm + "/" + event + "/" + line.path("name").asText(), line);
            } else if (BELIEFS_OF_GROUP.contains(event)) {
                beliefs.put(vm + "/" + event + "/" + line.path("group").asText(), line);
            }
        }
        return story;
    }

    private static void addBeliefs(List<JsonNode> story, Map<String, JsonNode> beliefs, String vm, String group) {
        beliefs.values().stream()
                .filter(belief -> belief.path("vm").asText().equals(vm))
                .filter(belief ->
                        !BELIEFS_OF_GROUP.contains(belief.path("event").asText())
                                || belief.path("group").asText().equals(group))
                .filter(belief -> !story.contains(belief))
                .sorted(TIME)
                .forEach(story::add);
    }

    /** Writes a line for reading: its time, daemon and event, then the other fields. */
    static String text(JsonNode line) {
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
