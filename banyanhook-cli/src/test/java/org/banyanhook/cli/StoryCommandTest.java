package org.banyanhook.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/**
 * Guards against timelines that miss the state known to a daemon, or that show the state of another group or daemon.
 */
final class StoryCommandTest {

    private static final String LOG = String.join(
            "\n",
            "  0.2 edge-1 {\"t\":1000,\"vm\":\"edge-1\",\"event\":\"configuration\",\"version\":6}",
            "{\"t\":1500,\"vm\":\"edge-1\",\"event\":\"configuration\",\"version\":7}",
            "{\"t\":1600,\"vm\":\"edge-1\",\"event\":\"primary\",\"group\":\"g\",\"member\":\"i-1\"}",
            "{\"t\":1650,\"vm\":\"edge-1\",\"event\":\"primary\",\"group\":\"other\",\"member\":\"i-9\"}",
            "{\"t\":1700,\"vm\":\"edge-2\",\"event\":\"configuration\",\"version\":5}",
            "{\"t\":3000,\"vm\":\"edge-1\",\"event\":\"configuration\",\"version\":8}",
            "{\"t\":2000,\"vm\":\"edge-1\",\"event\":\"statement\",\"request\":\"r1\",\"group\":\"g\",\"outcome\":\"x\"}",
            "{\"t\":2000,\"vm\":\"edge-1\",\"event\":\"stat");

    @TempDir
    @SuppressWarnings("NullAway.Init")
    private Path folder;

    /** A caller that is refused when it opens a session has no request id. */
    @Test
    void findsRefusedSessionsByTheAddressOrTheKeyOfTheCaller() throws IOException {
        String refusal = "{\"t\":5000,\"vm\":\"edge-1\",\"event\":\"session-refusal\",\"caller\":\"10.1.2.3:4567\","
                + "\"key\":\"0f1e2d3c4b5a\",\"outcome\":\"KEY_UNKNOWN\",\"version\":8,\"versionAgeMs\":2000}";
        Path log = folder.resolve("refusals.log");
        Files.writeString(log, LOG + "\n" + refusal);
        for (String caller : List.of("10.1.2.3:4567", "0f1e2d3c4b5a")) {
            assertThat(run("story", caller, log.toString()))
                    .contains("session-refusal  caller=10.1.2.3:4567  key=0f1e2d3c4b5a  outcome=KEY_UNKNOWN");
        }
    }

    @Test
    void printsTheRequestAfterTheStateInForceAtItsTime() throws IOException {
        String output = run("story", "r1", log());
        assertThat(output.lines().toList())
                .containsExactly(
                        "1970-01-01T00:00:01.500Z  edge-1  configuration  version=7",
                        "1970-01-01T00:00:01.600Z  edge-1  primary  group=g  member=i-1",
                        "1970-01-01T00:00:02Z  edge-1  statement  request=r1  group=g  outcome=x")
                .inOrder();
    }

    @Test
    void jsonOptionPrintsTheLinesAsLogged() throws IOException {
        assertThat(run("story", "--json", "r1", log())).contains("{\"t\":2000,\"vm\":\"edge-1\"");
    }

    @Test
    void reportsAnUnknownRequest() throws IOException {
        assertThat(run("story", "r2", log())).contains("no line names request 'r2'");
    }

    private String log() throws IOException {
        return Files.writeString(folder.resolve("log"), LOG).toString();
    }

    private static String run(String... arguments) {
        StringWriter output = new StringWriter();
        CommandLine line = BanyanhookTool.newCommandLine(name -> null);
        line.setOut(new PrintWriter(output));
        line.setErr(new PrintWriter(output));
        line.execute(arguments);
        return output.toString().replace("banyanhook: skipped 1 truncated lines\n", "");
    }
}
