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

/** The positional arguments and options of one command, consumed one at a time. Not thread-safe. */
final class CommandArguments {

    private static final Pattern NAME_PATTERN = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");
    private static final Pattern HASH_PATTERN = Pattern.compile("[0-9a-f]{64}");

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
                throw refusal("option '" + argument.substring(0, separator) + "' is given twice");
            }
        }
    }

    /** Consumes the next positional argument, which must be a name. */
    String nextName(String what) throws RefusalException {
        String word = positionalArguments.poll();
        if (word == null) {
            throw refusal("the " + what + " is missing");
        }
        return requireValidName(what, word);
    }

    /** Consumes a required option whose value must be a name. */
    String requiredName(String option) throws RefusalException {
        return requireValidName(option, require(option));
    }

    /** Consumes a required option whose value must be a SHA-256 in lower-case hexadecimal. */
    String requiredHash(String option) throws RefusalException {
        String value = require(option);
        if (!HASH_PATTERN.matcher(value).matches()) {
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

    /** Consumes an option, if present, whose value must be a finite number of at least 0. */
    Optional<Double> optionalNumber(String option) throws RefusalException {
        return parse(
                option,
                "a number of at least 0",
                text -> Optional.ofNullable(Doubles.tryParse(text))
                        .filter(value -> Double.isFinite(value) && value >= 0));
    }

    /** Consumes an option, if present, whose value must be an integer of at least 1. */
    Optional<Integer> optionalCount(String option) throws RefusalException {
        return parse(
                option,
                "an integer of at least 1",
                text -> Optional.ofNullable(Ints.tryParse(text)).filter(value -> value >= 1));
    }

    /** Consumes an option, if present, whose value must be an integer number of milliseconds of at least 0. */
    Optional<Long> optionalMillis(String option) throws RefusalException {
        return parse(
                option,
                "an integer of at least 0",
                text -> Optional.ofNullable(Longs.tryParse(text)).filter(value -> value >= 0));
    }

    <T> T require(String option, Optional<T> value) throws RefusalException {
        return value.orElseThrow(() -> refusal("'" + option + "=' is missing"));
    }

    /** Throws if an argument was not consumed. */
    void requireAllConsumed() throws RefusalException {
        if (!positionalArguments.isEmpty()) {
            throw refusal("unexpected argument '" + positionalArguments.peek() + "'");
        }
        if (!options.isEmpty()) {
            throw refusal("unknown option '" + options.keySet().iterator().next() + "='");
        }
    }

    RefusalException refusal(String problem) {
        return RefusalException.notRun(
                RefusalKind.COMMAND_UNKNOWN, "Invalid command: " + problem + "; usage: '" + usage + "'.");
    }

    private String require(String option) throws RefusalException {
        return require(option, optionalText(option));
    }

    private String requireValidName(String what, String word) throws RefusalException {
        if (!NAME_PATTERN.matcher(word).matches()) {
            throw refusal("the " + what + " '" + word
                    + "' must be 1 to 63 lower-case letters, digits, '.', '_' or '-', starting with a letter or digit");
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
