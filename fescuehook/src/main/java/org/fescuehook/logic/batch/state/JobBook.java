package org.fescuehook.logic.batch.state;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.batch.TaskName;

/** All jobs that are kept, open ones in the order of their acceptance. */
public final class JobBook {

  /** Further than clocks of the day are set by mistake; they are known to jump by seconds. */
  private static final Duration LARGEST_JUMP = Duration.ofMinutes(10);

  private final Map<String, OpenJob> open = new LinkedHashMap<>();
  private final Map<String, EndedJob> ended = new LinkedHashMap<>();
  private final Map<String, Long> endKnownAt = new HashMap<>();

  /** A job that has ended and is still shown. */
  public record EndedJob(JobPhase phase, long endedMillis) {}

  /** Adds a job that is open, or of which something may still run. */
  public void add(OpenJob job) {
    String id = job.job().id();
    open.put(id, job);
    ended.remove(id);
    endKnownAt.remove(id);
  }

  /** Adds a job that had ended. */
  public void addEnded(String id, EndedJob job, long nowNanos) {
    ended.put(id, job);
    endKnownAt.put(id, nowNanos);
  }

  /** Returns a copy that keeps only the jobs that have ended. */
  public JobBook withoutOpenJobs() {
    JobBook copy = new JobBook();
    copy.ended.putAll(ended);
    copy.endKnownAt.putAll(endKnownAt);
    return copy;
  }

  /** Finds a job that has not been retired. */
  public Optional<OpenJob> open(String id) {
    return Optional.ofNullable(open.get(id));
  }

  /** Finds the progress of a task of an open job. */
  public Optional<TaskProgress> task(TaskName name) {
    return open(name.job()).flatMap(job -> job.task(name));
  }

  /** Returns what callers are told of a job; absent if there is none. */
  public Optional<JobPhase> shown(String id) {
    OpenJob job = open.get(id);
    if (job != null) {
      return Optional.of(job.shown());
    }
    return Optional.ofNullable(ended.get(id)).map(EndedJob::phase);
  }

  /** Returns the jobs that have not been retired. */
  public Collection<OpenJob> openJobs() {
    return open.values();
  }

  /** Moves a job whose end is stored, and of which nothing runs, to those that are only shown. */
  public void retire(OpenJob job, long nowNanos) {
    String id = job.job().id();
    if (open.remove(id, job)) {
      addEnded(id, new EndedJob(job.end().orElseThrow(), job.endedMillis()), nowNanos);
    }
  }

  /**
   * Removes and returns a job that has been shown as ended for long enough; absent if there is
   * none. Clocks of the day jump, so it must have been long ago by the time that has passed here,
   * or so long ago by the clock that no jump explains it, as it may be with a job of a former
   * owner.
   */
  public Optional<String> forgetOneShownFor(Duration retention, long nowNanos, long wallMillis) {
    Iterator<Map.Entry<String, EndedJob>> entries = ended.entrySet().iterator();
    if (!entries.hasNext()) {
      return Optional.empty();
    }
    Map.Entry<String, EndedJob> oldest = entries.next();
    String id = oldest.getKey();
    long shownNanos = nowNanos - endKnownAt.get(id);
    long ageMillis = wallMillis - oldest.getValue().endedMillis();
    boolean longAgo = ageMillis >= retention.plus(LARGEST_JUMP).toMillis();
    if (shownNanos < retention.toNanos() && !longAgo) {
      return Optional.empty();
    }
    entries.remove();
    endKnownAt.remove(id);
    return Optional.of(id);
  }

  /** Returns how many jobs of a queue wait: none of their tasks was started. */
  public int pending(String queue) {
    int count = 0;
    for (OpenJob job : open.values()) {
      if (job.job().queue().name().equals(queue) && job.open() && !job.begun()) {
        count++;
      }
    }
    return count;
  }
}
