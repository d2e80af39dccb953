package org.banyanhook.core.command;

import com.google.common.primitives.Doubles;
import com.google.common.primitives.Ints;
import com.google.common.primitives.Longs;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;

/** The words of one command after its verb, taken one by one. Not safe for use by several threads. */
final class CommandArguments {

    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");
    private static final Pattern HASH = Pattern.compile("[0-9a-f]{64}");

    private final String usage;
    private final Deque<String> positionalArguments = new ArrayDeque<>();
    private final Map<String, String> options = new LinkedHashMap<>();

    CommandArguments(String usage, List<String> arguments) throws RefusalException {
        this.usage = usage;
        for (String argument : arguments) {
            int separator = argument.indexOf('=');
            if (separator < 0) {
                positionalArguments.add(argument);
            } else if (options.put(argument.substring(0, separator), argument.substring(separator + 1)) != null) {
                throw refusal("'" + argument.substring(0, separator) + "' is given twice");
            }
        }
    }

    /** Takes the next word, a name. */
    String nextName(String what) throws RefusalException {
        String word = positionalArguments.poll();
        if (word == null) {
            throw refusal("the " + what + " is missing");
        }
        return requireValidName(what, word);
    }

    /** Takes an option that must be given, a name. */
    String requiredName(String option) throws RefusalException {
        return requireValidName(option, require(option));
    }

    /** Takes an option that must be given, a SHA-256 in lower-case hexadecimal. */
    String requiredHash(String option) throws RefusalException {
        String value = require(option);
        if (!HASH.matcher(value).matches()) {
            throw refusal("'" + option + "' must be the SHA-256 of the key, 64 lower-case hexadecimal digits");
        }
        return value;
    }

    Optional<String> optionalText(String option) {
        return Optional.ofNullable(options.remove(option));
    }

    Optional<String> optionalName(String option) throws RefusalException {
        Optional<String> value = optionalText(option);
        if (value.isPresent()) {
            requireValidName(option, value.get());
        }
        return value;
    }

    /** Takes an option, a finite number of at least 0. */
    Optional<Double> optionalNumber(String option) throws RefusalException {
        return parse(
                option,
                "a number of at least 0",
                text -> Optional.ofNullable(Doubles.tryParse(text))
                        .filter(value -> Double.isFinite(value) && value >= 0));
    }

    /** Takes an option, a whole number of at least 1. */
    Optional<Integer> optionalCount(String option) throws RefusalException {
        return parse(
                option,
                "a whole number of at least 1",
                text -> Optional.ofNullable(Ints.tryParse(text)).filter(value -> value >= 1));
    }

    /** Takes an option, a whole number of milliseconds of at least 0. */
    Optional<Long> optionalMillis(String option) throws RefusalException {
        return parse(
                option,
                "a whole number of at least 0",
                text -> Optional.ofNullable(Longs.tryParse(text)).filter(value -> value >= 0));
    }

    <T> T require(String option, Optional<T> value) throws RefusalException {
        return value.orElseThrow(() -> refusal("'" + option + "=' is missing"));
    }

    /** Fails if any word or option was not taken. */
    void requireAllConsumed() throws RefusalException {
        if (!positionalArguments.isEmpty()) {
            throw refusal("'" + positionalArguments.peek() + "' is too much");
        }
        if (!options.isEmpty()) {
            throw refusal("there is no '" + options.keySet().iterator().next() + "='");
        }
    }

    RefusalException refusal(String problem) {
        return RefusalException.notRun(
                RefusalKind.COMMAND_UNKNOWN, "The command is refused: " + problem + "; write '" + usage + "'.");
    }

    private String require(String option) throws RefusalException {
        return require(option, optionalText(option));
    }

    private String requireValidName(String what, String word) throws RefusalException {
        if (!NAME.matcher(word).matches()) {
            throw refusal("the " + what + " '" + word + "' is no name of lower-case letters, digits, '.', '_' and '-'");
        }
        return word;
    }

    private <T> Optional<T> parse(String option, String expected, Function<String, Optional<T>> parser)
            throws RefusalException {
        Optional<String> text = optionalText(option);
        if (text.isEmpty()) {
            return Optional.empty();
        }
        Optional<T> value = parser.apply(text.get());
        if (value.isEmpty()) {
            throw refusal("'" + option + "=" + text.get() + "' is not " + expected);
        }
        return value;
    }
}
