import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The file `record.txt` of a case: what was sent, answered and run, with milliseconds since its start. */
final class Record implements AutoCloseable {
    private final long start = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    long now() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    synchronized void add(String line) {
        out.printf("%6d %s%n", now(), line);
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
