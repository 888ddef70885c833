import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what happened, with the seconds since the start of the script. */
final class Record implements AutoCloseable {
    private static final long START = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
    }

    /** Milliseconds since the start of the script. */
    static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static double seconds(long ms) {
        return ms / 1000.0;
    }

    synchronized void line(String format, Object... values) {
        out.println(String.format(Locale.ROOT, "%9.3f  ", seconds(now())) + String.format(Locale.ROOT, format, values));
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
