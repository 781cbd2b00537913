import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;

/** What was sent, answered and run, with milliseconds since the script began. */
final class Journal {

  private final PrintWriter out;
  private final long begin = System.nanoTime();

  Journal(Path file) throws IOException {
    out = new PrintWriter(file.toFile());
  }

  long millis() {
    return (System.nanoTime() - begin) / 1_000_000;
  }

  synchronized void note(String who, String what) {
    out.printf("%8d %-9s %s%n", millis(), who, what);
    out.flush();
  }
}
