package org.banyanhook.daemon.administration;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;

/** Factory methods for the rows of command results. */
public final class JsonRows {

    private JsonRows() {}

    /** Returns a new empty row. */
    public static ObjectNode newRow() {
        return JsonNodeFactory.instance.objectNode();
    }

    /** Returns strings as a JSON array. */
    static ArrayNode textArray(Collection<String> texts) {
        ArrayNode array = JsonNodeFactory.instance.arrayNode();
        texts.forEach(array::add);
        return array;
    }
}
