import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** Writes record.txt: what was sent, answered and run, each line with the milliseconds since the start. */
final class Recorder implements AutoCloseable {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Recorder(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    synchronized void line(String text) {
        out.printf("%7d ms  %s%n", millis(), text);
        out.flush();
    }

    @Override
    public void close() {
        out.close();
    }
}
