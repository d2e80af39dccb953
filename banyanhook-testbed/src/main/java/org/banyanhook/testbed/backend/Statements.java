package org.banyanhook.testbed.backend;

import java.util.Map;
import java.util.function.UnaryOperator;

/** The statements that the stand-in knows: {@code get K}, {@code put K V}, {@code append K V}, {@code add K N}. */
final class Statements {

    private static final int MAXIMUM_PARTS = 3;

    private Statements() {}

    /**
     * Runs one statement.
     *
     * @param statement the text
     * @param write whether it may change data
     * @param reader reads the present value of a key, empty if it has none
     * @param changes receives the new value of a changed key
     * @return the result
     * @throws MemberException if the text is no statement, or writes without leave
     */
    static String run(String statement, boolean write, UnaryOperator<String> reader, Map<String, String> changes)
            throws MemberException {
        String[] parts = statement.split(" ", MAXIMUM_PARTS);
        String verb = parts[0];
        if (verb.equals("get") && parts.length == 2) {
            return reader.apply(parts[1]);
        }
        if (parts.length != MAXIMUM_PARTS) {
            throw rejected("unknown statement; use get K, put K V, append K V or add K N");
        }
        if (!write) {
            throw rejected("a statement that writes was sent as a read");
        }
        String value = newValue(verb, reader.apply(parts[1]), parts[2]);
        changes.put(parts[1], value);
        return value;
    }

    private static String newValue(String verb, String present, String argument) throws MemberException {
        return switch (verb) {
            case "put" -> argument;
            case "append" -> present + argument;
            case "add" -> Long.toString(number(present.isEmpty() ? "0" : present) + number(argument));
            default -> throw rejected("unknown verb " + verb + "; use get, put, append or add");
        };
    }

    private static long number(String text) throws MemberException {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException exception) {
            throw rejected("not a whole number: " + text);
        }
    }

    private static MemberException rejected(String detail) {
        return new MemberException(MemberException.Kind.STATEMENT_REJECTED, detail);
    }
}
