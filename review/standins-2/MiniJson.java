import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses the JSON bodies that the gateways send. */
final class MiniJson {
    private final String text;
    private int index;

    private MiniJson(String text) {
        this.text = text;
    }

    /** Returns the value as a map, a list, a string, a double, a boolean or null. */
    static Object parse(String text) {
        return new MiniJson(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    private Object value() {
        skipBlanks();
        char first = text.charAt(index);
        if (first == '{') {
            return map();
        }
        if (first == '[') {
            return list();
        }
        if (first == '"') {
            return string();
        }
        int start = index;
        while (index < text.length() && ",]} \t\r\n".indexOf(text.charAt(index)) < 0) {
            index++;
        }
        String word = text.substring(start, index);
        return switch (word) {
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            case "null" -> null;
            default -> Double.valueOf(word);
        };
    }

    private Map<String, Object> map() {
        Map<String, Object> result = new LinkedHashMap<>();
        index++;
        skipBlanks();
        while (text.charAt(index) != '}') {
            skipBlanks();
            String key = string();
            skipBlanks();
            index++;
            result.put(key, value());
            skipBlanks();
            if (text.charAt(index) == ',') {
                index++;
            }
        }
        index++;
        return result;
    }

    private List<Object> list() {
        List<Object> result = new ArrayList<>();
        index++;
        skipBlanks();
        while (text.charAt(index) != ']') {
            result.add(value());
            skipBlanks();
            if (text.charAt(index) == ',') {
                index++;
                skipBlanks();
            }
        }
        index++;
        return result;
    }

    private String string() {
        StringBuilder result = new StringBuilder();
        index++;
        while (text.charAt(index) != '"') {
            char next = text.charAt(index++);
            if (next == '\\') {
                char escaped = text.charAt(index++);
                switch (escaped) {
                    case 'n' -> result.append('\n');
                    case 't' -> result.append('\t');
                    case 'r' -> result.append('\r');
                    case 'u' -> {
                        result.append((char) Integer.parseInt(text.substring(index, index + 4), 16));
                        index += 4;
                    }
                    default -> result.append(escaped);
                }
            } else {
                result.append(next);
            }
        }
        index++;
        return result.toString();
    }

    private void skipBlanks() {
        while (Character.isWhitespace(text.charAt(index))) {
            index++;
        }
    }
}
