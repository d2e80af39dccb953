import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to the record of a case. Thread-safe. */
final class Trace implements AutoCloseable {

    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Trace(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), false);
    }

    /** Returns the time since the start in milliseconds. */
    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void line(String who, String text) {
        out.printf(Locale.ROOT, "%9.3f %-14s %s%n", millis() / 1000.0, who, text);
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
