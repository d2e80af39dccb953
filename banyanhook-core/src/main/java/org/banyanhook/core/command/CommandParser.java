package org.banyanhook.core.command;

import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Optional;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;

/** Parses the command language, which the command-line tool, script files and the administration interface share. */
public final class CommandParser {

    private static final ImmutableMap<String, CommandSyntax> SYNTAX_BY_KEYWORDS =
            ImmutableMap.<String, CommandSyntax>builder()
                    .put("show", new CommandSyntax("show " + ShowSubject.allLabels(), CommandParser::parseShow))
                    .put(
                            "explain",
                            new CommandSyntax(
                                    "explain <service> <route> [database=<name>|partition-key=<key>] [account=<name>]",
                                    CommandParser::parseExplain))
                    .put(
                            "set account",
                            new CommandSyntax(
                                    "set account <name> [rate=<n>] [burst=<n>] [weight=<n>]",
                                    CommandParser::parseSetAccount))
                    .put(
                            "set route",
                            new CommandSyntax(
                                    "set route <service> <route> maximum-age-millis=<n>", CommandParser::parseSetRoute))
                    .put(
                            "grant account",
                            new CommandSyntax(
                                    "grant account <name> rate=<n> burst=<n> [weight=<n>]",
                                    CommandParser::parseGrantAccount))
                    .put(
                            "grant key",
                            new CommandSyntax(
                                    "grant key <account> id=<id> hash=<sha-256>", CommandParser::parseGrantKey))
                    .put(
                            "withdraw key",
                            new CommandSyntax("withdraw key <account> <id>", CommandParser::parseWithdrawKey))
                    .put(
                            "take-out failure-domain",
                            new CommandSyntax(
                                    "take-out failure-domain <name>",
                                    arguments -> new SetFailureDomainTakenOut(arguments.nextName("name"), true)))
                    .put(
                            "return failure-domain",
                            new CommandSyntax(
                                    "return failure-domain <name>",
                                    arguments -> new SetFailureDomainTakenOut(arguments.nextName("name"), false)))
                    .put(
                            "drain backend-server",
                            new CommandSyntax(
                                    "drain backend-server <name>",
                                    arguments -> new SetBackendServerDraining(arguments.nextName("name"), true)))
                    .put(
                            "return backend-server",
                            new CommandSyntax(
                                    "return backend-server <name>",
                                    arguments -> new SetBackendServerDraining(arguments.nextName("name"), false)))
                    .put(
                            "drain entry-vm",
                            new CommandSyntax(
                                    "drain entry-vm <name>",
                                    arguments -> new SetEntryVmDraining(arguments.nextName("name"), true)))
                    .put(
                            "return entry-vm",
                            new CommandSyntax(
                                    "return entry-vm <name>",
                                    arguments -> new SetEntryVmDraining(arguments.nextName("name"), false)))
                    .buildOrThrow();

    private CommandParser() {}

    /** Returns the syntax of each command, in the order of the manual. */
    public static List<String> usages() {
        return SYNTAX_BY_KEYWORDS.values().stream().map(CommandSyntax::usage).toList();
    }

    /**
     * Parses one command.
     *
     * @param line the text of the command
     * @return the command
     * @throws RefusalException of kind {@link RefusalKind#COMMAND_UNKNOWN}, with a detail that states the problem and
     *     the expected syntax
     */
    public static Command parse(String line) throws RefusalException {
        List<String> words = CommandTokenizer.split(line);
        if (words.isEmpty()) {
            throw unknownCommand("The command is empty");
        }
        CommandSyntax oneWordSyntax = SYNTAX_BY_KEYWORDS.get(words.get(0));
        if (oneWordSyntax != null) {
            return parse(oneWordSyntax, words.subList(1, words.size()));
        }
        CommandSyntax twoWordSyntax =
                words.size() < 2 ? null : SYNTAX_BY_KEYWORDS.get(words.get(0) + " " + words.get(1));
        if (twoWordSyntax == null) {
            throw unknownCommand("Unknown command '" + String.join(" ", words.subList(0, Math.min(2, words.size())))
                    + "'");
        }
        return parse(twoWordSyntax, words.subList(2, words.size()));
    }

    private static Command parse(CommandSyntax syntax, List<String> words) throws RefusalException {
        CommandArguments arguments = new CommandArguments(syntax.usage(), words);
        Command command = syntax.parser().parse(arguments);
        arguments.requireAllConsumed();
        return command;
    }

    private static Command parseShow(CommandArguments arguments) throws RefusalException {
        String label = arguments.nextName("subject");
        return new Show(
                ShowSubject.find(label).orElseThrow(() -> arguments.refusal("unknown subject '" + label + "'")));
    }

    private static Command parseExplain(CommandArguments arguments) throws RefusalException {
        String service = arguments.nextName("service");
        String route = arguments.nextName("route");
        Optional<String> database = arguments.optionalName("database");
        Optional<String> partitionKey = arguments.optionalText("partition-key");
        if (database.isPresent() && partitionKey.isPresent()) {
            throw arguments.refusal("'database=' and 'partition-key=' are mutually exclusive");
        }
        return new Explain(service, route, database, partitionKey, arguments.optionalName("account"));
    }

    private static Command parseSetAccount(CommandArguments arguments) throws RefusalException {
        SetAccount change = new SetAccount(
                arguments.nextName("name"),
                arguments.optionalNumber("rate"),
                arguments.optionalNumber("burst"),
                arguments.optionalCount("weight"));
        if (change.subjects().isEmpty()) {
            throw arguments.refusal("give at least one of 'rate=', 'burst=' and 'weight='");
        }
        return change;
    }

    private static Command parseSetRoute(CommandArguments arguments) throws RefusalException {
        String service = arguments.nextName("service");
        String route = arguments.nextName("route");
        String option = "maximum-age-millis";
        return new SetRoute(service, route, arguments.require(option, arguments.optionalMillis(option)));
    }

    private static Command parseGrantAccount(CommandArguments arguments) throws RefusalException {
        return new GrantAccount(
                arguments.nextName("name"),
                arguments.require("rate", arguments.optionalNumber("rate")),
                arguments.require("burst", arguments.optionalNumber("burst")),
                arguments.optionalCount("weight").orElse(1));
    }

    private static Command parseGrantKey(CommandArguments arguments) throws RefusalException {
        return new GrantKey(
                arguments.nextName("account"), arguments.requiredName("id"), arguments.requiredHash("hash"));
    }

    private static Command parseWithdrawKey(CommandArguments arguments) throws RefusalException {
        return new WithdrawKey(arguments.nextName("account"), arguments.nextName("id"));
    }

    private static RefusalException unknownCommand(String problem) {
        return RefusalException.notRun(
                RefusalKind.COMMAND_UNKNOWN, problem + "; use one of: " + String.join("; ", usages()) + ".");
    }

    private record CommandSyntax(String usage, ArgumentParser parser) {}

    /** Parses the arguments of one command. */
    @FunctionalInterface
    private interface ArgumentParser {
        Command parse(CommandArguments arguments) throws RefusalException;
    }
}
