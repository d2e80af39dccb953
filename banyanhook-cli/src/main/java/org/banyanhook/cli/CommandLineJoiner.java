package org.banyanhook.cli;

import java.util.List;
import java.util.stream.Collectors;

/** Joins words that the shell has split into one line of the command language. */
final class CommandLineJoiner {

    private CommandLineJoiner() {}

    static String join(String verb, List<String> words) {
        String joinedWords = words.stream().map(CommandLineJoiner::quote).collect(Collectors.joining(" "));
        return joinedWords.isEmpty() ? verb : verb + " " + joinedWords;
    }

    private static String quote(String word) {
        boolean plain = !word.isEmpty() && word.chars().noneMatch(CommandLineJoiner::isSpecial);
        return plain ? word : '"' + word.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }

    private static boolean isSpecial(int character) {
        return Character.isWhitespace(character) || character == '"' || character == '\\' || character == '#';
    }
}
