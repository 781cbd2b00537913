import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/**
 * Watches accepted jobs by the rule LOST: for 3 s a job has nothing running while a task's turn has
 * come and there is room for it twice over.
 */
final class Idle {

  private static final long BOUND_MILLIS = 3000;
  private static final long STEP_MILLIS = 50;

  private final Platform platform;
  private final Map<String, Supplier<Step>> jobs = new ConcurrentHashMap<>();
  private final Map<String, Long> since = new ConcurrentHashMap<>();
  private final Map<String, Long> longest = new ConcurrentHashMap<>();

  /** Whether a service that is at least half full excuses a job. */
  private final boolean fullExcuses;

  private volatile boolean begun;

  Idle(Platform platform, boolean fullExcuses) {
    this.platform = platform;
    this.fullExcuses = fullExcuses;
    Thread.ofPlatform().daemon().start(this::watch);
  }

  /**
   * Adds an accepted job.
   *
   * @param waiting returns the step of which a task's turn has come while the job has nothing
   *     running; null if there is none
   */
  void add(String job, Supplier<Step> waiting) {
    jobs.put(job, waiting);
  }

  /** Begins to judge; what was idle before doesn't count. */
  void begin() {
    begun = true;
  }

  private void watch() {
    while (true) {
      if (begun) {
        boolean excused = fullExcuses && !platform.halfIdle();
        jobs.forEach((job, waiting) -> look(job, waiting.get(), excused));
      }
      try {
        Thread.sleep(STEP_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void look(String job, Step waiting, boolean excused) {
    if (excused || waiting == null || !platform.roomTwice(waiting)) {
      since.remove(job);
      return;
    }
    long now = platform.journal.millis();
    long from = since.computeIfAbsent(job, any -> now);
    longest.merge(job, now - from, Math::max);
  }

  /** Returns a line for each job that was idle for too long. */
  List<String> broken() {
    List<String> lines = new ArrayList<>();
    longest.forEach((job, millis) -> {
      if (millis > BOUND_MILLIS) {
        lines.add("LOST: job " + job + " had nothing running for " + millis + " ms, with room for its task twice over");
      }
    });
    return lines;
  }
}
