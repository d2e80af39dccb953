import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Reads the lines of the wire, which end with CR LF and nothing else. */
final class LineReader {
    private final InputStream in;
    private byte[] buffer = new byte[1 << 16];
    private int start;
    private int end;

    LineReader(InputStream in) {
        this.in = in;
    }

    /** Returns the next line without its end, or null at the end of the connection. */
    String readLine() throws IOException {
        int searched = start;
        while (true) {
            for (int index = searched; index + 1 < end; index++) {
                if (buffer[index] == '\r' && buffer[index + 1] == '\n') {
                    String line = new String(buffer, start, index - start, StandardCharsets.ISO_8859_1);
                    start = index + 2;
                    return line;
                }
            }
            searched = Math.max(start, end - 1) - start;
            System.arraycopy(buffer, start, buffer, 0, end - start);
            end -= start;
            start = 0;
            if (end == buffer.length) {
                buffer = Arrays.copyOf(buffer, 2 * buffer.length);
            }
            int count = in.read(buffer, end, buffer.length - end);
            if (count < 0) {
                return null;
            }
            end += count;
        }
    }
}
