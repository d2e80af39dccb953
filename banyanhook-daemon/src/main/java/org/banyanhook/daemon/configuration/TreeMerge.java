package org.banyanhook.daemon.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Applies the difference between two JSON trees to a tree that may contain further fields and elements. */
final class TreeMerge {

    private TreeMerge() {}

    /**
     * Applies a change to a tree.
     *
     * @param original the tree with known and unknown fields; not modified
     * @param before its known part before the change
     * @param after its known part after the change
     * @return a new tree
     */
    static ObjectNode merge(ObjectNode original, ObjectNode before, ObjectNode after) {
        ObjectNode merged = original.deepCopy();
        before.fieldNames().forEachRemaining(name -> {
            if (!after.has(name)) {
                merged.remove(name);
            }
        });
        after.properties()
                .forEach(field -> merged.set(
                        field.getKey(),
                        mergeValue(original.get(field.getKey()), before.get(field.getKey()), field.getValue())));
        return merged;
    }

    private static JsonNode mergeValue(@Nullable JsonNode original, @Nullable JsonNode before, JsonNode after) {
        if (original instanceof ObjectNode object
                && before instanceof ObjectNode known
                && after instanceof ObjectNode) {
            return merge(object, known, (ObjectNode) after);
        }
        if (original instanceof ArrayNode array && before instanceof ArrayNode known && after instanceof ArrayNode) {
            return mergeElements(array, known, (ArrayNode) after);
        }
        return after;
    }

    private static ArrayNode mergeElements(ArrayNode original, ArrayNode before, ArrayNode after) {
        Map<String, JsonNode> beforeByIdentity = indexByIdentity(before);
        Map<String, JsonNode> remaining = indexByIdentity(after);
        ArrayNode merged = JsonNodeFactory.instance.arrayNode();
        for (JsonNode element : original) {
            String identity = identityOf(element);
            JsonNode changed = remaining.remove(identity);
            if (changed != null) {
                merged.add(mergeValue(element, beforeByIdentity.get(identity), changed));
            } else if (!beforeByIdentity.containsKey(identity)) {
                merged.add(element);
            }
        }
        remaining.values().forEach(merged::add);
        return merged;
    }

    private static Map<String, JsonNode> indexByIdentity(ArrayNode elements) {
        Map<String, JsonNode> result = new LinkedHashMap<>();
        elements.forEach(element -> result.put(identityOf(element), element));
        return result;
    }

    /** Returns the identity of a list element: its name, its id, or else its whole text. */
    private static String identityOf(JsonNode element) {
        if (element.hasNonNull("name")) {
            return element.get("name").asText();
        }
        if (element.hasNonNull("id")) {
            return element.get("id").asText();
        }
        return element.toString();
    }
}
