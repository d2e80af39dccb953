package org.banyanhook.daemon.logging;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanhook.daemon.settings.LogFormat;
import org.banyanhook.daemon.settings.LogSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Checks that bearer tokens in messages are replaced in both formats, and that levels are applied. */
class LogConfiguratorTest {

    private final PrintStream originalOutput = System.out;
    private final ByteArrayOutputStream capturedOutput = new ByteArrayOutputStream();

    @AfterEach
    void restore() {
        System.setOut(originalOutput);
        LogConfigurator.apply(new LogSettings(LogFormat.TEXT, "info"));
    }

    @Test
    void hidesBearerTokensInJsonLines() throws Exception {
        Logger logger = configureAndCapture(new LogSettings(LogFormat.JSON, "info"));

        logger.info("header Authorization: bearer s3cret of {}", "plant");
        logger.debug("not written");

        String text = capturedOutput.toString(UTF_8).trim();
        assertThat(text.lines().toList()).hasSize(1);
        JsonNode line = new JsonMapper().readTree(text);
        assertThat(line.path("level").asText()).isEqualTo("INFO");
        assertThat(line.path("message").asText()).isEqualTo("header Authorization: bearer (hidden) of plant");
        assertThat(line.path("logger").asText()).isEqualTo("org.banyanhook.test");
    }

    @Test
    void hidesBearerTokensInTextLines() {
        Logger logger = configureAndCapture(new LogSettings(LogFormat.TEXT, "debug"));

        logger.debug("Bearer s3cret", new IllegalStateException("why"));
        LogManager.getLogger("org.eclipse.jetty.Some").info("not written");

        String text = capturedOutput.toString(UTF_8);
        assertThat(text).contains("DEBUG [");
        assertThat(text).contains("test: Bearer (hidden)");
        assertThat(text).contains("IllegalStateException: why");
        assertThat(text).doesNotContain("s3cret");
        assertThat(text).doesNotContain("not written");
    }

    private Logger configureAndCapture(LogSettings settings) {
        System.setOut(new PrintStream(capturedOutput, true, UTF_8));
        LogConfigurator.apply(settings);
        return LogManager.getLogger("org.banyanhook.test");
    }
}
