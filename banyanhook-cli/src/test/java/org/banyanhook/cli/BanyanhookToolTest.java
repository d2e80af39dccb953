package org.banyanhook.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

/** Guards against wrong output, wrong exit codes, and changes that are resent under another command id. */
class BanyanhookToolTest {

    private static final String ROWS =
            "{\"command\":\"c\",\"version\":7,\"rows\":[{\"account\":\"plant\",\"keys\":[\"k1\",\"k2\"],\"rate\":10.0},"
                    + "{\"account\":\"lab\",\"keys\":[],\"rate\":2.5}]}";
    private static final String EXPLANATION = "{\"choice\":\"m1\",\"random\":false,\"draw\":0.5,\"members\":["
            + "{\"member\":\"m1\",\"role\":\"primary\",\"access\":\"IDLE_CONNECTION\",\"costMillis\":15,\"exclusion\":\"\"},"
            + "{\"member\":\"m2\",\"role\":\"replica\",\"access\":null,\"exclusion\":\"could not be reached\"}]}";
    private static final String REFUSAL =
            "{\"kind\":\"%s\",\"execution\":\"%s\",\"detail\":\"It is so.\"," + "\"remedy\":\"Do this.\"}";

    @TempDir
    private Path directory;

    private final Server server = new Server();
    private final List<String> receivedRequests = new ArrayList<>();
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();
    private final List<Answer> answers = new ArrayList<>();
    private int port;
    private Map<String, String> environment = Map.of(ConnectionOptions.OPERATOR_KEY_VARIABLE, "kim's key");

    @BeforeEach
    void start() throws Exception {
        ServerConnector connector = new ServerConnector(server);
        connector.setHost("127.0.0.1");
        server.addConnector(connector);
        server.setHandler(new ScriptedHandler());
        server.start();
        port = connector.getLocalPort();
    }

    @AfterEach
    void stop() throws Exception {
        server.stop();
    }

    @Test
    void writesRowsAsATable() {
        answers.add(new Answer(200, ROWS));

        assertThat(run("show", "accounts")).isEqualTo(ExitCodes.DONE);

        assertThat(out.toString().lines().toList())
                .containsExactly(
                        "account  keys   rate",
                        "plant    k1,k2  10.0",
                        "lab      -      2.5",
                        "configuration version 7")
                .inOrder();
        assertThat(receivedRequests.get(0)).contains("Bearer kim's key {\"command\":\"show accounts\"");
        assertThat(receivedRequests.get(0)).doesNotContain("basedOnVersion");
    }

    @ParameterizedTest
    @CsvSource({"json, '\"account\" : \"plant\"'", "yaml, 'account: \"plant\"'"})
    void writesJsonAndYaml(String format, String content) {
        answers.add(new Answer(200, ROWS));

        assertThat(run("show", "accounts", "--output", format)).isEqualTo(ExitCodes.DONE);
        assertThat(out.toString()).contains(content);
    }

    @Test
    void resendsAChangeWithTheSameCommandIdAndBaseVersion() {
        answers.add(new Answer(200, "{\"version\":\"x\",\"configurationVersion\":6}"));
        answers.add(new Answer(503, String.format(REFUSAL, "platform-unavailable", "unknown")));
        answers.add(new Answer(200, ROWS));

        assertThat(run("set", "account", "plant", "rate=10")).isEqualTo(ExitCodes.DONE);

        assertThat(receivedRequests).hasSize(3);
        assertThat(receivedRequests.get(1)).contains("\"command\":\"set account plant rate=10\"");
        assertThat(receivedRequests.get(1)).contains("\"basedOnVersion\":6");
        assertThat(receivedRequests.get(2)).isEqualTo(receivedRequests.get(1));
    }

    @Test
    void quotesWordsWithSpaces() {
        answers.add(new Answer(200, ROWS));

        run("explain", "inject-db", "status", "partition-key=valve 7");

        assertThat(receivedRequests.get(0)).contains("explain inject-db status \\\"partition-key=valve 7\\\"");
    }

    @Test
    void printsARefusalWithItsRemedy() {
        answers.add(new Answer(409, String.format(REFUSAL, "configuration-conflict", "not-run")));

        assertThat(run("drain", "entry-vm", "e1", "--based-on-version", "3")).isEqualTo(ExitCodes.REFUSED);
        assertThat(err.toString())
                .isEqualTo("banyanhook: configuration-conflict (not-run): It is so. Do this." + System.lineSeparator());
    }

    @Test
    void runsAScriptUpToTheFirstRefusal() throws Exception {
        Path script =
                Files.writeString(directory.resolve("s"), "# first\n\nshow accounts\nshow colours\nshow routes\n");
        answers.add(new Answer(200, ROWS));
        answers.add(new Answer(400, String.format(REFUSAL, "command-unknown", "not-run")));

        assertThat(run("run", script.toString())).isEqualTo(ExitCodes.REFUSED);
        assertThat(err.toString()).contains(script + ":4: command-unknown");
        assertThat(receivedRequests).hasSize(2);
    }

    @Test
    void readsTheKeyFromAFile() throws Exception {
        Path file = Files.writeString(directory.resolve("key"), "lee's key\n");
        answers.add(new Answer(200, ROWS));

        run("--key-file", file.toString(), "show", "accounts");

        assertThat(receivedRequests.get(0)).contains("Bearer lee's key {");
    }

    @Test
    void exitCodesDistinguishUsageErrorsFromUnreachablePorts() throws Exception {
        assertThat(run("show", "--no-such-option")).isEqualTo(ExitCodes.USAGE);
        assertThat(run("frobnicate")).isEqualTo(ExitCodes.USAGE);
        assertThat(run("run", directory.resolve("none").toString())).isEqualTo(ExitCodes.USAGE);
        environment = Map.of();
        assertThat(run("show", "accounts")).isEqualTo(ExitCodes.USAGE);
        environment = Map.of(ConnectionOptions.OPERATOR_KEY_VARIABLE, "k");
        server.stop();
        assertThat(run("show", "accounts")).isEqualTo(ExitCodes.UNREACHABLE);
        assertThat(err.toString()).contains("did not answer");
    }

    @Test
    void documentsExitCodesAndGeneratesCompletion() {
        assertThat(run("--help")).isEqualTo(ExitCodes.DONE);
        assertThat(out.toString()).contains("3   no entry VM answered");
        assertThat(run("generate-completion")).isEqualTo(ExitCodes.DONE);
        assertThat(out.toString()).contains("take-out");
    }

    /** Operators of gateways have no administration port, and no operator key. */
    @Test
    void explainsAChoiceAndReadsItAgainFromASnapshot() throws Exception {
        environment = Map.of();
        answers.add(new Answer(200, EXPLANATION));
        assertThat(run("explain", "--database=tickets read", "--account=gozi510", "--json"))
                .isEqualTo(ExitCodes.DONE);
        assertThat(receivedRequests.get(0)).startsWith("/explain ");
        Path snapshot = Files.writeString(directory.resolve("snapshot.json"), out.toString());
        out.getBuffer().setLength(0);
        assertThat(run("explain", "--snapshot=" + snapshot)).isEqualTo(ExitCodes.DONE);
        assertThat(out.toString()).contains("could not be reached");
        assertThat(out.toString()).contains("choice: m1, the lowest cost");
        assertThat(receivedRequests).hasSize(1);
    }

    /** A refusal or a file of another kind would be printed as an explanation without members. */
    @Test
    void refusedAndInvalidExplanationsAreErrors() throws Exception {
        answers.add(new Answer(400, "no database 'x'; name one of the configuration"));
        assertThat(run("explain", "--database=x", "--account=a")).isEqualTo(ExitCodes.REFUSED);
        assertThat(err.toString()).contains("name one of the configuration");
        Path other = Files.writeString(directory.resolve("other.json"), "{}");
        assertThat(run("explain", "--snapshot=" + other)).isEqualTo(ExitCodes.USAGE);
    }

    private int run(String... arguments) {
        List<String> all = new ArrayList<>(List.of(arguments));
        if (!arguments[0].startsWith("--help") && !arguments[0].equals("generate-completion")) {
            all.add("--address=127.0.0.1:" + port);
        }
        CommandLine line = BanyanhookTool.newCommandLine(environment::get);
        line.setOut(new PrintWriter(out, true));
        line.setErr(new PrintWriter(err, true));
        return line.execute(all.toArray(String[]::new));
    }

    private record Answer(int status, String body) {}

    private final class ScriptedHandler extends Handler.Abstract {
        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            receivedRequests.add(request.getHttpURI().getPath() + " "
                    + request.getHeaders().get("Authorization") + " " + Content.Source.asString(request));
            Answer answer = answers.remove(0);
            response.setStatus(answer.status());
            Content.Sink.write(response, true, answer.body(), callback);
            return true;
        }
    }
}
