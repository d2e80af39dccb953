package org.banyanhook.core.architecture;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against I/O, threads, clocks and random sources in the decision logic of this module. */
final class DecisionPurityTest {

    private static final Path SOURCES = Path.of("src/main/java");

    private static final Pattern FORBIDDEN_IMPORT = Pattern.compile(
            "^import (static )?(java\\.io\\.(?!Serializable|"
                    + "UncheckedIOException)|java\\.net\\.|java\\.nio\\.(channels|file)|java\\.time\\.(Clock|Instant)|java\\.util\\.concurrent\\.|"
                    + "java\\.util\\.(Random|SplittableRandom|Timer)|java\\.util\\.random|java\\.security\\.SecureRandom|"
                    + "com\\.google\\.common\\.(io|net)\\.(Files|Resources)|org\\.apache|org\\.eclipse|io\\.netty|com\\.fasterxml).*");

    private static final Pattern FORBIDDEN_USE = Pattern.compile("System\\.(nanoTime|currentTimeMillis|out|err|getenv)"
            + "|Math\\.random|UUID\\.randomUUID|ThreadLocalRandom|SecureRandom|new (Random|Thread)\\(|Thread\\.(sleep|start)"
            + "|Executors\\.|Instant\\.now|\\bsynchronized\\b|CompletableFuture");

    @Test
    void decisionsImportNoInputOutputThreadsClocksOrRandomness() throws IOException {
        assertThat(linesMatching(FORBIDDEN_IMPORT)).isEmpty();
    }

    @Test
    void decisionsUseNoClockRandomSourceOrThread() throws IOException {
        assertThat(linesMatching(FORBIDDEN_USE)).isEmpty();
    }

    @Test
    void forbiddenUsesAreRecognised() {
        List<String> samples = List.of(
                "long now = System.nanoTime();", "new Random(7)", "Thread.sleep(1);", "ThreadLocalRandom.current()");
        for (String sample : samples) {
            assertThat(FORBIDDEN_USE.matcher(sample).find()).isTrue();
        }
        assertThat(FORBIDDEN_IMPORT.matcher("import java.net.Socket;").matches())
                .isTrue();
    }

    private static List<String> linesMatching(Pattern pattern) throws IOException {
        try (Stream<Path> files = Files.walk(SOURCES)) {
            List<Path> sources =
                    files.filter(file -> file.toString().endsWith(".java")).toList();
            assertThat(sources).isNotEmpty();
            return sources.stream()
                    .flatMap(file -> matchingLines(file, pattern))
                    .toList();
        }
    }

    private static Stream<String> matchingLines(Path file, Pattern pattern) {
        try {
            return Files.readAllLines(file).stream()
                    .filter(line -> !line.stripLeading().startsWith("*"))
                    .filter(line -> pattern.matcher(line).find())
                    .map(line -> file + ": " + line.strip());
        } catch (IOException exception) {
            throw new java.io.UncheckedIOException(exception);
        }
    }
}
