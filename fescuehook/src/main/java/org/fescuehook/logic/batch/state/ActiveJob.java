package org.fescuehook.logic.batch.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fescuehook.model.batch.BatchJob;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.batch.Submission;
import org.fescuehook.model.batch.TaskName;

/** A job that is open, or that has ended and was not retired yet because of its live runs. */
public final class ActiveJob {

  private final BatchJob job;
  private final List<StepProgress> steps;
  private final int stepsPerOccurrence;
  private final long chainMillis;
  private boolean accepted = true;
  private boolean begun;
  private Optional<JobPhase> end = Optional.empty();
  private long endedMillis;
  private JobPhase storedPhase = JobPhase.QUEUED;

  /** Creates a job whose submission is being stored. */
  public static ActiveJob submitted(BatchJob job) {
    ActiveJob submitted = new ActiveJob(job);
    submitted.accepted = false;
    return submitted;
  }

  /** Creates an accepted job of which no task was started. */
  public ActiveJob(BatchJob job) {
    this.job = job;
    Submission submission = job.submission();
    this.stepsPerOccurrence = submission.steps().size();
    this.chainMillis = submission.estimatedChainMillis();
    this.steps = new ArrayList<>();
    long[] chains = submission.estimatedChainsMillis();
    for (int occurrence = 0; occurrence < submission.occurrences(); occurrence++) {
      for (int number = 0; number < stepsPerOccurrence; number++) {
        BatchStep spec = submission.steps().get(number);
        steps.add(new StepProgress(this, occurrence, number, spec, chains[number]));
      }
    }
  }

  /** Returns the job as it was accepted. */
  public BatchJob job() {
    return job;
  }

  /**
   * Returns the estimated duration of the longest chain of dependent steps in one occurrence, in
   * milliseconds.
   */
  public long estimatedChainMillis() {
    return chainMillis;
  }

  /** Returns the steps of all occurrences, ordered by occurrence and number. */
  public List<StepProgress> steps() {
    return steps;
  }

  /** Returns a step; empty if there is no such step. */
  public Optional<StepProgress> step(int occurrence, int number) {
    boolean inside =
        occurrence >= 0
            && occurrence < job.submission().occurrences()
            && number >= 0
            && number < stepsPerOccurrence;
    return inside
        ? Optional.of(steps.get(occurrence * stepsPerOccurrence + number))
        : Optional.empty();
  }

  /** Returns the progress of a task; empty if there is no such task. */
  public Optional<TaskProgress> task(TaskName name) {
    return step(name.occurrence(), name.step()).flatMap(step -> step.task(name.index()));
  }

  /** Returns whether a step may run: it is due, and the steps that it depends on are done. */
  public boolean mayRun(StepProgress step, long wallMillis) {
    Optional<Submission.Schedule> schedule = job.submission().schedule();
    if (schedule.isPresent() && wallMillis < schedule.get().dueMillis(step.occurrence())) {
      return false;
    }
    for (int dependency : step.spec().dependsOn()) {
      if (!steps.get(step.occurrence() * stepsPerOccurrence + dependency).done()) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns whether the job is stored. Until then its tasks may be placed, so that its placements
   * are stored with it, but callers are not told that it exists and nothing is done for it that
   * could not be undone.
   */
  public boolean accepted() {
    return accepted;
  }

  /** Records that the job is stored. */
  public void accept() {
    accepted = true;
  }

  /** Returns whether any task was ever started. */
  public boolean begun() {
    return begun;
  }

  void begin() {
    begun = true;
  }

  /** Returns the final state; empty while the job is open. */
  public Optional<JobPhase> end() {
    return end;
  }

  /** Returns whether it has not ended. */
  public boolean open() {
    return end.isEmpty();
  }

  /** Returns when it ended, milliseconds since 1970; 0 while it is open. */
  public long endedMillis() {
    return endedMillis;
  }

  /** Ends the job in memory. */
  public void end(JobPhase phase, long wallMillis) {
    end = Optional.of(phase);
    endedMillis = wallMillis;
  }

  /** Returns whether all steps of all occurrences are done. */
  public boolean allDone() {
    return steps.stream().allMatch(StepProgress::done);
  }

  /** Returns the state that is reported to callers: the newest one that is stored. */
  public JobPhase storedPhase() {
    return storedPhase;
  }

  /** Returns the current state, which may not be stored yet. */
  public JobPhase phase() {
    return end.orElse(begun ? JobPhase.IN_PROGRESS : JobPhase.QUEUED);
  }

  /** Sets the state that is reported to callers after it has been stored. */
  public void setStoredPhase(JobPhase phase) {
    storedPhase = phase;
  }

  /** Returns all live runs. */
  public List<LiveRun> liveRuns() {
    return steps.stream().flatMap(step -> step.liveRuns().stream()).toList();
  }

  void restore(boolean wasBegun, Optional<JobPhase> ended, long endedAt) {
    begun = wasBegun;
    end = ended;
    endedMillis = endedAt;
    setStoredPhase(phase());
  }
}
