package org.fescuehook.logic.batch.state;

import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.batch.TaskName;

/** All jobs that are kept, open ones in the order of their acceptance. */
public final class JobRegistry {

  /** Callers may send any number of cancels of jobs that do not exist; these take some 2 MB. */
  private static final int MOST_EARLY_CANCELS = 10_000;

  private final Map<String, ActiveJob> open = new LinkedHashMap<>();
  private final RetainedRecords<EndedJob> ended;

  /** Ends of jobs that were cancelled before they were known; their submissions may still come. */
  private final RetainedRecords<EndedJob> earlyCancels;

  /** A job that has ended and is still shown. */
  public record EndedJob(JobPhase phase, long endedMillis) {}

  /** Creates a book without jobs. */
  public JobRegistry() {
    this(new RetainedRecords<>(Integer.MAX_VALUE), new RetainedRecords<>(MOST_EARLY_CANCELS));
  }

  private JobRegistry(RetainedRecords<EndedJob> ended, RetainedRecords<EndedJob> earlyCancels) {
    this.ended = ended;
    this.earlyCancels = earlyCancels;
  }

  /** Adds a job that is open, or of which something may still run. */
  public void add(ActiveJob job) {
    String id = job.job().id();
    open.put(id, job);
    ended.remove(id);
  }

  /** Adds a job that had ended. */
  public void addEnded(String id, EndedJob job, long nowNanos) {
    ended.put(id, job, job.endedMillis(), nowNanos);
  }

  /** Adds a cancel of a job that is not known. */
  public void addEarlyCancel(String id, EndedJob cancelled, long nowNanos) {
    earlyCancels.put(id, cancelled, cancelled.endedMillis(), nowNanos);
  }

  /** Returns the end that a job has if it is handed in now; absent if no cancel came before it. */
  public Optional<EndedJob> earlyCancel(String id) {
    return earlyCancels.get(id);
  }

  /** Returns a book of the same records without the jobs that have not been retired. */
  public JobRegistry withoutOpenJobs() {
    return new JobRegistry(ended, earlyCancels);
  }

  /** Finds a job that has not been retired. */
  public Optional<ActiveJob> open(String id) {
    return Optional.ofNullable(open.get(id));
  }

  /** Finds the progress of a task of an open job. */
  public Optional<TaskProgress> task(TaskName name) {
    return open(name.job()).flatMap(job -> job.task(name));
  }

  /** Returns what callers are told of a job; absent if there is none. */
  public Optional<JobPhase> shown(String id) {
    ActiveJob job = open.get(id);
    if (job != null) {
      return Optional.of(job.shown());
    }
    return ended.get(id).map(EndedJob::phase);
  }

  /** Returns the jobs that have not been retired. */
  public Collection<ActiveJob> openJobs() {
    return open.values();
  }

  /** Moves a job whose end is stored, and of which nothing runs, to those that are only shown. */
  public void retire(ActiveJob job, long nowNanos) {
    String id = job.job().id();
    if (open.remove(id, job)) {
      addEnded(id, new EndedJob(job.end().orElseThrow(), job.endedMillis()), nowNanos);
    }
  }

  /** Removes and returns a job that was shown as ended for long enough; absent if none was. */
  public Optional<String> forgetOneShownFor(Duration retention, long nowNanos, long wallMillis) {
    return ended.forgetOne(retention, nowNanos, wallMillis);
  }

  /** Removes and returns a job whose early cancel was kept for long enough; absent if none was. */
  public Optional<String> forgetOneEarlyCancel(Duration retention, long nowNanos, long wallMillis) {
    return earlyCancels.forgetOne(retention, nowNanos, wallMillis);
  }

  /** Returns how many jobs of a queue wait: none of their tasks was started. */
  public int pending(String queue) {
    int count = 0;
    for (ActiveJob job : open.values()) {
      if (job.job().queue().name().equals(queue) && job.open() && !job.begun()) {
        count++;
      }
    }
    return count;
  }
}
