import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The runs of all tasks as the servers saw them. */
final class History {

  /** One run; {@code to} is -1 while it lasts. */
  static final class Span {
    final long run;
    final String server;
    final long from;
    long to = -1;
    String how = "";

    Span(long run, String server, long from) {
      this.run = run;
      this.server = server;
      this.from = from;
    }
  }

  private final Journal journal;
  private final boolean verbose;
  private final Map<String, List<Span>> spans = new TreeMap<>();
  private final Map<String, Integer> started = new HashMap<>();

  /** Creates a history; a verbose one notes each start and end in the record. */
  History(Journal journal, boolean verbose) {
    this.journal = journal;
    this.verbose = verbose;
  }

  synchronized void started(String task, long run, String server) {
    spans.computeIfAbsent(task, any -> new ArrayList<>()).add(new Span(run, server, journal.millis()));
    started.merge(task.substring(0, 16), 1, Integer::sum);
    if (verbose) {
      journal.note(server, "started " + shown(task) + " run " + run);
    }
  }

  synchronized void ended(String task, long run, String server, String how) {
    for (Span span : spans.getOrDefault(task, List.of())) {
      if (span.run == run && span.server.equals(server) && span.to < 0) {
        span.to = journal.millis();
        span.how = how;
      }
    }
    if (verbose) {
      journal.note(server, "ended " + shown(task) + " run " + run + " " + how);
    }
  }

  /** Returns the name of a task with slashes, as one with dots may look like an address. */
  private static String shown(String task) {
    return task.replace('.', '/');
  }

  /** Returns the runs of a task, in the order of their starts. */
  synchronized List<Span> of(String task) {
    return List.copyOf(spans.getOrDefault(task, List.of()));
  }

  /** Returns how many tasks of a job have been started. */
  synchronized int startsOf(String job) {
    return started.getOrDefault(job, 0);
  }

  /** Returns how many runs of a job have ended in a way. */
  synchronized long endsOf(String job, String how) {
    return spans.entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(job))
        .flatMap(entry -> entry.getValue().stream())
        .filter(span -> span.how.equals(how))
        .count();
  }

  /** Returns whether a task has ended well. */
  synchronized boolean done(String task) {
    return of(task).stream().anyMatch(span -> span.how.equals("done"));
  }

  /** Returns whether any task of a job is at work now. */
  synchronized boolean running(String job) {
    return spans.entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(job))
        .anyMatch(entry -> entry.getValue().stream().anyMatch(span -> span.to < 0));
  }
}
