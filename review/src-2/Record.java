import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Pattern;

/** Writes what was sent, answered and run, with seconds since the begin. */
final class Record implements AutoCloseable {

  /** Names of tasks and steps; they are written with slashes, as they look like addresses. */
  private static final Pattern TASK = Pattern.compile("(\\w{16})\\.(\\d+)\\.(\\d+)\\.?");

  private final PrintWriter out;
  private final long startedNanos = System.nanoTime();
  private final Map<String, Integer> starts = new ConcurrentHashMap<>();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  double seconds() {
    return (System.nanoTime() - startedNanos) / 1e9;
  }

  synchronized void write(String line) {
    String shown = TASK.matcher(line).replaceAll("$1/$2/$3/");
    out.printf(Locale.ROOT, "%8.3f %s%n", seconds(), shown);
    out.flush();
  }

  /** Counts a start of a task. */
  void started(String task) {
    starts.merge(task, 1, Integer::sum);
  }

  /** Returns whether any task of a job has ever started. */
  boolean begun(String job) {
    return starts.keySet().stream().anyMatch(task -> task.startsWith(job + "."));
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
