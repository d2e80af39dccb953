package org.banyanhook.core.command;

import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Optional;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;

/** Parses the command language; the same for the tool, script files and the administration interface. */
public final class CommandParser {

    private static final ImmutableMap<String, Form> FORMS = ImmutableMap.<String, Form>builder()
            .put("show", new Form("show " + ShowSubject.allLabels(), CommandParser::show))
            .put(
                    "explain",
                    new Form(
                            "explain <service> <route> [database=<name>|partition-key=<key>] [account=<name>]",
                            CommandParser::explain))
            .put(
                    "set account",
                    new Form("set account <name> [rate=<n>] [burst=<n>] [weight=<n>]", CommandParser::setAccount))
            .put("set route", new Form("set route <service> <route> maximum-age-millis=<n>", CommandParser::setRoute))
            .put(
                    "grant account",
                    new Form("grant account <name> rate=<n> burst=<n> [weight=<n>]", CommandParser::grantAccount))
            .put("grant key", new Form("grant key <account> id=<id> hash=<sha-256>", CommandParser::grantKey))
            .put("withdraw key", new Form("withdraw key <account> <id>", CommandParser::withdrawKey))
            .put(
                    "take-out failure-domain",
                    new Form(
                            "take-out failure-domain <name>",
                            arguments -> new MoveFailureDomain(arguments.name("name"), true)))
            .put(
                    "return failure-domain",
                    new Form(
                            "return failure-domain <name>",
                            arguments -> new MoveFailureDomain(arguments.name("name"), false)))
            .put(
                    "drain backend-server",
                    new Form(
                            "drain backend-server <name>",
                            arguments -> new MoveBackendServer(arguments.name("name"), true)))
            .put(
                    "return backend-server",
                    new Form(
                            "return backend-server <name>",
                            arguments -> new MoveBackendServer(arguments.name("name"), false)))
            .put(
                    "drain entry-vm",
                    new Form("drain entry-vm <name>", arguments -> new MoveEntryVm(arguments.name("name"), true)))
            .put(
                    "return entry-vm",
                    new Form("return entry-vm <name>", arguments -> new MoveEntryVm(arguments.name("name"), false)))
            .buildOrThrow();

    private CommandParser() {}

    /** Returns how each command is written, in the order of the manual. */
    public static List<String> usages() {
        return FORMS.values().stream().map(Form::usage).toList();
    }

    /**
     * Parses one command.
     *
     * @param line the command as written
     * @return the command
     * @throws RefusalException of kind {@link RefusalKind#COMMAND_UNKNOWN}, naming what to write instead
     */
    public static Command parse(String line) throws RefusalException {
        List<String> words = CommandWords.split(line);
        if (words.isEmpty()) {
            throw unknown("The command is empty");
        }
        Form oneWord = FORMS.get(words.get(0));
        if (oneWord != null) {
            return parse(oneWord, words.subList(1, words.size()));
        }
        Form twoWords = words.size() < 2 ? null : FORMS.get(words.get(0) + " " + words.get(1));
        if (twoWords == null) {
            throw unknown("There is no command '" + String.join(" ", words.subList(0, Math.min(2, words.size())))
                    + "'");
        }
        return parse(twoWords, words.subList(2, words.size()));
    }

    private static Command parse(Form form, List<String> words) throws RefusalException {
        CommandArguments arguments = new CommandArguments(form.usage(), words);
        Command command = form.reader().read(arguments);
        arguments.end();
        return command;
    }

    private static Command show(CommandArguments arguments) throws RefusalException {
        String label = arguments.name("subject");
        return new Show(
                ShowSubject.find(label).orElseThrow(() -> arguments.refused("there is no '" + label + "' to show")));
    }

    private static Command explain(CommandArguments arguments) throws RefusalException {
        String service = arguments.name("service");
        String route = arguments.name("route");
        Optional<String> database = arguments.optionalName("database");
        Optional<String> partitionKey = arguments.optionalText("partition-key");
        if (database.isPresent() && partitionKey.isPresent()) {
            throw arguments.refused("'database=' and 'partition-key=' exclude each other");
        }
        return new Explain(service, route, database, partitionKey, arguments.optionalName("account"));
    }

    private static Command setAccount(CommandArguments arguments) throws RefusalException {
        SetAccount change = new SetAccount(
                arguments.name("name"),
                arguments.optionalNumber("rate"),
                arguments.optionalNumber("burst"),
                arguments.optionalCount("weight"));
        if (change.subjects().isEmpty()) {
            throw arguments.refused("nothing to set is named");
        }
        return change;
    }

    private static Command setRoute(CommandArguments arguments) throws RefusalException {
        String service = arguments.name("service");
        String route = arguments.name("route");
        String option = "maximum-age-millis";
        return new SetRoute(service, route, arguments.required(option, arguments.optionalMillis(option)));
    }

    private static Command grantAccount(CommandArguments arguments) throws RefusalException {
        return new GrantAccount(
                arguments.name("name"),
                arguments.required("rate", arguments.optionalNumber("rate")),
                arguments.required("burst", arguments.optionalNumber("burst")),
                arguments.optionalCount("weight").orElse(1));
    }

    private static Command grantKey(CommandArguments arguments) throws RefusalException {
        return new GrantKey(arguments.name("account"), arguments.requiredName("id"), arguments.requiredHash("hash"));
    }

    private static Command withdrawKey(CommandArguments arguments) throws RefusalException {
        return new WithdrawKey(arguments.name("account"), arguments.name("id"));
    }

    private static RefusalException unknown(String problem) {
        return RefusalException.notRun(
                RefusalKind.COMMAND_UNKNOWN, problem + "; write one of: " + String.join("; ", usages()) + ".");
    }

    private record Form(String usage, ArgumentReader reader) {}

    /** Reads the arguments of one form of command. */
    @FunctionalInterface
    private interface ArgumentReader {
        Command read(CommandArguments arguments) throws RefusalException;
    }
}
