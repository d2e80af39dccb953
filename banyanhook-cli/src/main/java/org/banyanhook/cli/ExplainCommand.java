package org.banyanhook.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ParentCommand;
import picocli.CommandLine.Spec;

/**
 * Prints where a statement would run. With a database or a snapshot it is explained by a gateway, which decides by the
 * code that places statements; with words only, they are a command for the administration port.
 */
@Command(
        name = "explain",
        mixinStandardHelpOptions = true,
        description = {
            "Explains how a request would be handled: <service> <route> [database=..] [account=..].",
            "With --database and --account: which member a gateway would choose, asked at its address for metrics;"
                    + " with --snapshot: a saved answer of it."
        })
final class ExplainCommand implements Callable<Integer> {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int HTTP_OK = 200;

    @Spec
    @SuppressWarnings("NullAway.Init")
    private CommandSpec spec;

    @ParentCommand
    @SuppressWarnings("NullAway.Init")
    private BanyanhookTool tool;

    @Parameters(paramLabel = "WORD", description = "The remaining words of the command.")
    private List<String> words = new ArrayList<>();

    @Option(names = "--database", paramLabel = "NAME", description = "The database that the session opens.")
    private @Nullable String database;

    @Option(names = "--account", paramLabel = "NAME", description = "The client account.")
    private String account = "";

    @Option(names = "--kind", paramLabel = "KIND", description = "read (the default) or write.")
    private String kind = "read";

    @Option(names = "--position", paramLabel = "TERM:NUMBER", description = "The position that a read has to see.")
    private String position = "";

    @Option(names = "--snapshot", paramLabel = "FILE", description = "A file with an answer that --json has printed.")
    private @Nullable Path snapshot;

    @Option(names = "--json", description = "Prints the answer as it was received.")
    private boolean json;

    @Override
    public Integer call() throws ToolException {
        PrintWriter out = spec.commandLine().getOut();
        if (database == null && snapshot == null) {
            try (CommandRunner runner = tool.newRunner(out)) {
                runner.run(CommandLineJoiner.join(spec.name(), words));
            }
            return ExitCodes.DONE;
        }
        if (!words.isEmpty()) {
            throw new ToolException(ExitCodes.USAGE, "words are not combined with --database or --snapshot; omit them");
        }
        String text = snapshot == null ? fetch() : read(snapshot);
        JsonNode answer = parse(text);
        out.print(json ? text.strip() + System.lineSeparator() : ExplanationFormatter.format(answer));
        out.flush();
        return ExitCodes.DONE;
    }

    private static String read(Path file) throws ToolException {
        try {
            return Files.readString(file);
        } catch (IOException exception) {
            throw new ToolException(ExitCodes.USAGE, "cannot read " + file + "; specify a readable file");
        }
    }

    private static JsonNode parse(String text) throws ToolException {
        try {
            JsonNode answer = new JsonMapper().readTree(text);
            if (answer.path("members").isArray()) {
                return answer;
            }
        } catch (IOException exception) {
            throw new ToolException(
                    ExitCodes.USAGE, "not an explanation: " + exception.getMessage() + "; save one with --json");
        }
        throw new ToolException(ExitCodes.USAGE, "not an explanation; save one with --json");
    }

    private String fetch() throws ToolException {
        String query = "/explain?database=" + encode(String.valueOf(database)) + "&account=" + encode(account)
                + "&kind=" + encode(kind) + "&position=" + encode(position);
        HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
        String failure = "no address is given";
        for (String address : tool.addresses()) {
            try {
                HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + query))
                        .timeout(TIMEOUT)
                        .build();
                HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
                if (response.statusCode() == HTTP_OK) {
                    return response.body();
                }
                throw new ToolException(
                        ExitCodes.REFUSED,
                        address + " answered with status " + response.statusCode() + ": " + response.body()
                                + (response.body().isEmpty() ? "specify the address for metrics of a gateway" : ""));
            } catch (IOException | IllegalArgumentException exception) {
                failure = address + ": " + exception;
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                failure = "interrupted";
                break;
            }
        }
        throw new ToolException(
                ExitCodes.UNREACHABLE, "no gateway answered (" + failure + "); specify its address for metrics");
    }

    private static String encode(String value) {
        return URLEncoder.encode(value, StandardCharsets.UTF_8);
    }
}
