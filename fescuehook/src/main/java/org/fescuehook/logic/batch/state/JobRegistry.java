package org.fescuehook.logic.batch.state;

import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.batch.TaskName;

/**
 * The jobs that the owner keeps in memory: active jobs in the order of their acceptance, ended jobs
 * whose state is still reported to callers, and cancels of jobs that are not known.
 */
public final class JobRegistry {

  /**
   * Most cancels of unknown jobs that are kept, as callers may send any number of them; this many
   * take about 2 MB.
   */
  private static final int MAX_EARLY_CANCELS = 10_000;

  private final Map<String, ActiveJob> active = new LinkedHashMap<>();
  private final RetainedRecords<EndedJob> ended;

  /**
   * Jobs that were cancelled before they were submitted, by the keys of their records; their
   * submissions may still arrive.
   */
  private final RetainedRecords<EndedJob> earlyCancels;

  /**
   * A job that has ended and whose state is still reported to callers.
   *
   * @param endedMillis when it ended, by the clock of its owner, milliseconds since 1970
   * @param scope within what its id was chosen; empty if an earlier version stored the end
   */
  public record EndedJob(JobPhase phase, long endedMillis, Optional<JobScope> scope) {}

  /**
   * The job that has an id at present.
   *
   * @param scope within what the id was chosen; empty if it is not known
   * @param endedMillis when the job ended, milliseconds since 1970; empty while it is open
   * @param phase the state that is reported to callers; empty while the job is being stored
   */
  public record IdHolder(
      Optional<JobScope> scope, OptionalLong endedMillis, Optional<JobPhase> phase) {}

  /** Creates a registry without jobs. */
  public JobRegistry() {
    this(new RetainedRecords<>(Integer.MAX_VALUE), new RetainedRecords<>(MAX_EARLY_CANCELS));
  }

  private JobRegistry(RetainedRecords<EndedJob> ended, RetainedRecords<EndedJob> earlyCancels) {
    this.ended = ended;
    this.earlyCancels = earlyCancels;
  }

  /** Adds a job that is open, or that has ended and still has live runs. */
  public void add(ActiveJob job) {
    String id = job.job().id();
    active.put(id, job);
    ended.remove(id);
  }

  /** Removes a job that was not accepted. */
  public void withdraw(ActiveJob job) {
    active.remove(job.job().id(), job);
  }

  /** Adds a job that has ended and has no live runs. */
  public void addEnded(String id, EndedJob job, long nowNanos) {
    ended.put(id, job, job.endedMillis(), nowNanos);
  }

  /**
   * Adds the cancel of a job that is not known.
   *
   * @param key key of its record
   */
  public void addEarlyCancel(String key, EndedJob cancelled, long nowNanos) {
    earlyCancels.put(key, cancelled, cancelled.endedMillis(), nowNanos);
  }

  /**
   * Returns the end that a job has as soon as it is submitted; empty unless it was cancelled before
   * its submission, from the same scope or under an owner of an earlier version.
   */
  public Optional<EndedJob> earlyCancel(String id, JobScope scope) {
    return earlyCancels
        .get(JobCodec.earlyCancelKey(id, scope))
        .or(() -> earlyCancels.get(JobCodec.unscopedEarlyCancelKey(id)));
  }

  /** Returns a registry with the same ended jobs and early cancels but without active jobs. */
  public JobRegistry withoutActiveJobs() {
    return new JobRegistry(ended, earlyCancels);
  }

  /** Returns an active job: one that is open, or has ended and was not retired yet. */
  public Optional<ActiveJob> active(String id) {
    return Optional.ofNullable(active.get(id));
  }

  /** Returns the progress of a task of an active job. */
  public Optional<TaskProgress> task(TaskName name) {
    return active(name.job()).flatMap(job -> job.task(name));
  }

  /** Returns the job that has an id, whether or not it is stored yet; empty if none has. */
  public Optional<IdHolder> holder(String id) {
    ActiveJob job = active.get(id);
    if (job != null) {
      return Optional.of(
          new IdHolder(
              Optional.of(JobScope.of(job.job())),
              job.open() ? OptionalLong.empty() : OptionalLong.of(job.endedMillis()),
              job.accepted() ? Optional.of(job.storedPhase()) : Optional.empty()));
    }
    return ended
        .get(id)
        .map(
            end ->
                new IdHolder(
                    end.scope(), OptionalLong.of(end.endedMillis()), Optional.of(end.phase())));
  }

  /** Returns the state of a job that is reported to its callers; empty if there is no such job. */
  public Optional<JobPhase> storedPhase(String id) {
    return holder(id).flatMap(IdHolder::phase);
  }

  /** Returns the active jobs. */
  public Collection<ActiveJob> activeJobs() {
    return active.values();
  }

  /** Moves a job without live runs, whose end is stored, from the active to the ended jobs. */
  public void retire(ActiveJob job, long nowNanos) {
    String id = job.job().id();
    if (active.remove(id, job)) {
      Optional<JobScope> scope = Optional.of(JobScope.of(job.job()));
      addEnded(id, new EndedJob(job.end().orElseThrow(), job.endedMillis(), scope), nowNanos);
    }
  }

  /**
   * Removes the oldest ended job if its retention has expired, and returns its id; empty if none
   * has expired.
   */
  public Optional<String> removeOneExpiredJob(Duration retention, long nowNanos, long wallMillis) {
    return ended.removeOneExpired(retention, nowNanos, wallMillis);
  }

  /**
   * Removes the oldest early cancel if its retention has expired, and returns the key of its
   * record; empty if none has expired.
   */
  public Optional<String> removeOneExpiredEarlyCancel(
      Duration retention, long nowNanos, long wallMillis) {
    return earlyCancels.removeOneExpired(retention, nowNanos, wallMillis);
  }

  /** Returns the number of open jobs of a queue of which no task was started yet. */
  public int pendingJobs(String queue) {
    int count = 0;
    for (ActiveJob job : active.values()) {
      boolean pending = job.accepted() && job.open() && !job.begun();
      if (pending && job.job().queue().name().equals(queue)) {
        count++;
      }
    }
    return count;
  }
}
