import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to a file, with the time since the start. */
final class Recorder {
    private final PrintWriter mOut;
    private final long mStart = System.nanoTime();

    Recorder(Path file) throws IOException {
        mOut = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    double seconds() {
        return (System.nanoTime() - mStart) / 1e9;
    }

    synchronized void add(String format, Object... values) {
        mOut.printf(Locale.ROOT, "%9.4f ", seconds());
        mOut.printf(Locale.ROOT, format + "%n", values);
    }
}
