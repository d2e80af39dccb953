package org.banyanhook.core.command;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;

/**
 * Splits command lines into words. Double quotes enclose text that contains spaces, and a backslash escapes the next
 * character.
 */
public final class CommandTokenizer {

    private CommandTokenizer() {}

    /**
     * Splits a line into words.
     *
     * @param line one command; an unquoted {@code #} at the start of a word begins a comment
     * @return the words without quotes, empty for a blank line
     * @throws RefusalException if a quote is not closed or a backslash ends the line
     */
    public static List<String> split(String line) throws RefusalException {
        ImmutableList.Builder<String> words = ImmutableList.builder();
        StringBuilder word = new StringBuilder();
        boolean inWord = false;
        boolean inQuotes = false;
        for (int index = 0; index < line.length(); index++) {
            char character = line.charAt(index);
            if (character == '\\') {
                index++;
                requireComplete(index < line.length(), "a backslash");
                word.append(line.charAt(index));
                inWord = true;
            } else if (character == '"') {
                inQuotes = !inQuotes;
                inWord = true;
            } else if (character == '#' && !inWord) {
                break;
            } else if (Character.isWhitespace(character) && !inQuotes) {
                if (inWord) {
                    words.add(word.toString());
                }
                word.setLength(0);
                inWord = false;
            } else {
                word.append(character);
                inWord = true;
            }
        }
        requireComplete(!inQuotes, "a quote that is not closed");
        if (inWord) {
            words.add(word.toString());
        }
        return words.build();
    }

    /**
     * Quotes a word if needed, so that {@link #split} returns it as one word.
     *
     * @param word the word
     * @return the word, quoted if needed
     */
    public static String quote(String word) {
        boolean plain = !word.isEmpty() && word.chars().noneMatch(CommandTokenizer::isSpecial);
        if (plain) {
            return word;
        }
        return '"' + word.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }

    private static boolean isSpecial(int character) {
        return Character.isWhitespace(character) || character == '"' || character == '\\' || character == '#';
    }

    private static void requireComplete(boolean complete, String what) throws RefusalException {
        if (!complete) {
            throw RefusalException.notRun(
                    RefusalKind.COMMAND_UNKNOWN, "The command ends with " + what + "; complete it or remove it.");
        }
    }
}
