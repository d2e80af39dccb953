import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Reads the lines of the wire, which end with CR LF and nothing else. */
final class LineReader {
    private final InputStream in;

    LineReader(InputStream in) {
        this.in = new BufferedInputStream(in, 1 << 16);
    }

    /** Returns the next line without its end, or null at the end of the connection. */
    String readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream(256);
        int before = -1;
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (before == '\r' && next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.substring(0, text.length() - 1);
            }
            line.write(next);
            before = next;
        }
        return null;
    }
}
