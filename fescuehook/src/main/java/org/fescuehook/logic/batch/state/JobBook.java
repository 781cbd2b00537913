package org.fescuehook.logic.batch.state;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.batch.TaskName;

/** All jobs that are kept, open ones in the order of their acceptance. */
public final class JobBook {

  private final Map<String, OpenJob> open = new LinkedHashMap<>();
  private final Map<String, EndedJob> ended = new LinkedHashMap<>();

  /** A job that has ended and is still shown. */
  public record EndedJob(JobPhase phase, long endedMillis) {}

  /** Adds an open job. */
  public void add(OpenJob job) {
    open.put(job.job().id(), job);
  }

  /** Adds a job that had ended. */
  public void addEnded(String id, EndedJob job) {
    ended.put(id, job);
  }

  /** Returns a copy that keeps only the jobs that have ended. */
  public JobBook withoutOpenJobs() {
    JobBook copy = new JobBook();
    copy.ended.putAll(ended);
    return copy;
  }

  /** Finds an open job. */
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

  /** Moves a job whose end is stored to those that are only shown. */
  public void retire(OpenJob job) {
    String id = job.job().id();
    if (open.remove(id, job)) {
      ended.put(id, new EndedJob(job.end().orElseThrow(), job.endedMillis()));
    }
  }

  /** Removes and returns a job that ended before a time; absent if there is none. */
  public Optional<String> forgetOneEndedBefore(long wallMillis) {
    Iterator<Map.Entry<String, EndedJob>> entries = ended.entrySet().iterator();
    if (!entries.hasNext()) {
      return Optional.empty();
    }
    Map.Entry<String, EndedJob> oldest = entries.next();
    if (oldest.getValue().endedMillis() >= wallMillis) {
      return Optional.empty();
    }
    entries.remove();
    return Optional.of(oldest.getKey());
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
