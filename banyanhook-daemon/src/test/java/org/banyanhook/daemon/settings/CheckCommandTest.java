package org.banyanhook.daemon.settings;

import static com.google.common.truth.Truth.assertThat;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

class CheckCommandTest {

    private static final String SETTINGS = """
            {entryVm: e1, failureDomain: a, region: r, callers: {address: "10.0.0.1:80"},
             peers: {address: "10.0.0.1:81"}, administration: {address: "127.0.0.1:82"},
             platform: {address: "127.0.0.1:83"}}
            """;

    @TempDir
    private Path directory;

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    @Test
    void acceptsUsableSettingsAndPrintsAdvice() throws Exception {
        assertThat(check(SETTINGS)).isEqualTo(0);
        assertThat(out.toString()).contains("can be used: entry VM e1 of failure domain a");
        for (String advice : new String[] {"set peers.tls", "set callers.tls", "role operate", "peers.seeds"}) {
            assertThat(out.toString()).contains(advice);
        }
    }

    @Test
    void rejectsUnusableSettings() throws Exception {
        assertThat(check(SETTINGS.replace("10.0.0.1:81", "seoul:81"))).isEqualTo(2);
        assertThat(err.toString()).contains("settings.yaml:2: /peers/address is \"seoul:81\"");
    }

    private int check(String settings) throws Exception {
        Path file = Files.writeString(directory.resolve("settings.yaml"), settings);
        CommandLine line = new CommandLine(new CheckCommand());
        line.setOut(new PrintWriter(out, true));
        line.setErr(new PrintWriter(err, true));
        return line.execute("--settings", file.toString());
    }
}
