import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt: one line for each event, with the seconds since the start. Thread-safe. */
final class Journal implements AutoCloseable {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Journal(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void line(String actor, String text) {
        out.println(String.format(Locale.ROOT, "%8.3f %-12s %s", seconds(), actor, text));
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
