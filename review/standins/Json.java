import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader for the bodies of the platform's calls. */
final class Json {
    private final String text;
    private int index;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        return json.value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return text.isBlank() ? Map.of() : (Map<String, Object>) parse(text);
    }

    static String quote(String text) {
        return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }

    private Object value() {
        skipBlanks();
        char next = text.charAt(index);
        if (next == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            index++;
            skipBlanks();
            while (text.charAt(index) != '}') {
                skipBlanks();
                String key = string();
                skipBlanks();
                index++;
                map.put(key, value());
                skipBlanks();
                if (text.charAt(index) == ',') {
                    index++;
                }
            }
            index++;
            return map;
        }
        if (next == '[') {
            List<Object> list = new ArrayList<>();
            index++;
            skipBlanks();
            while (text.charAt(index) != ']') {
                list.add(value());
                skipBlanks();
                if (text.charAt(index) == ',') {
                    index++;
                }
            }
            index++;
            return list;
        }
        if (next == '"') {
            return string();
        }
        int start = index;
        while (index < text.length() && ",]} \r\n\t".indexOf(text.charAt(index)) < 0) {
            index++;
        }
        String word = text.substring(start, index);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> "";
            default -> Double.valueOf(word).longValue();
        };
    }

    private String string() {
        StringBuilder result = new StringBuilder();
        index++;
        while (text.charAt(index) != '"') {
            char next = text.charAt(index++);
            if (next == '\\') {
                char escaped = text.charAt(index++);
                if (escaped == 'u') {
                    result.append((char) Integer.parseInt(text.substring(index, index + 4), 16));
                    index += 4;
                } else {
                    result.append(escaped == 'n' ? '\n' : escaped == 't' ? '\t' : escaped == 'r' ? '\r' : escaped);
                }
            } else {
                result.append(next);
            }
        }
        index++;
        return result.toString();
    }

    private void skipBlanks() {
        while (index < text.length() && Character.isWhitespace(text.charAt(index))) {
            index++;
        }
    }
}
