import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Pattern;

/** Writes what was sent, answered and run, with the time since the start of the trial. */
final class Record implements AutoCloseable {

  private static final Pattern TASK = Pattern.compile("([0-9a-f]{16})\\.(\\d+)\\.(\\d+)\\.(\\d+)");

  private final PrintWriter out;
  private final long start = System.nanoTime();
  private final Map<String, Integer> repeated = new HashMap<>();

  Record(Path file) throws IOException {
    this.out = new PrintWriter(Files.newBufferedWriter(file));
  }

  long millis() {
    return (System.nanoTime() - start) / 1_000_000;
  }

  /** Writes a line. Names of tasks get slashes, as with dots they look like addresses. */
  synchronized void note(String text) {
    out.printf("%8.3f s  %s%n", millis() / 1000.0, TASK.matcher(text).replaceAll("$1/$2/$3/$4"));
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
