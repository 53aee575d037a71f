import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, with milliseconds since the start. */
final class Record {
    private final PrintWriter out;
    private final long start = System.currentTimeMillis();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void line(String what, String who, String id, String text) {
        out.println((System.currentTimeMillis() - start) + "\t" + what + "\t" + who + "\t" + id + "\t" + text);
        out.flush();
    }

    void note(String text) {
        line("note", "-", "-", text);
        System.out.println(text);
    }
}
