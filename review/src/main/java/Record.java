import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time since the start of the trial. */
final class Record implements AutoCloseable {

  private final PrintWriter out;
  private final long start = System.nanoTime();
  private final java.util.Map<String, Integer> repeated = new java.util.HashMap<>();

  Record(Path file) throws IOException {
    this.out = new PrintWriter(Files.newBufferedWriter(file));
  }

  long millis() {
    return (System.nanoTime() - start) / 1_000_000;
  }

  synchronized void note(String text) {
    out.printf("%8.3f s  %s%n", millis() / 1000.0, text);
    out.flush();
  }

  /** Writes the same text three times at most. */
  synchronized void noteFew(String text) {
    if (repeated.merge(text, 1, Integer::sum) <= 3) {
      note(text);
    }
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
