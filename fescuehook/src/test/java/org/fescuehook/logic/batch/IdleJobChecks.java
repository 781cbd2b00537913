package org.fescuehook.logic.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.batch.Submission;
import org.fescuehook.model.batch.TaskName;

/**
 * Checks from what runs on the executors of a {@link BatchCluster} that no accepted job has nothing
 * running for too long while one of its steps could run, there is capacity for twice that step, and
 * less than half of the capacity is in use.
 */
final class IdleJobChecks {

  private static final long INTERVAL_MILLIS = 50;

  /** For how long a job may have nothing running under these conditions. */
  private static final long MAX_IDLE_MILLIS = 3000;

  private final BatchCluster cluster;
  private final Map<String, Submission> jobs = new HashMap<>();
  private final Map<String, Long> idleSince = new HashMap<>();
  private final List<String> breaches = new ArrayList<>();

  IdleJobChecks(BatchCluster cluster) {
    this.cluster = cluster;
  }

  /** Submits a job whose idle times are checked. */
  String submit(String queue, Submission submission) {
    String job = cluster.submit(queue, submission);
    jobs.put(job, submission);
    return job;
  }

  /** Returns what a job consists of that was submitted here. */
  Submission submission(String job) {
    return jobs.get(job);
  }

  /** Submits a gang, checkpointed tasks or a job of two steps, to any queue. */
  void submitRandomJob() {
    long millis = 1000L + cluster.random.nextInt(4000);
    int width = 1 + cluster.random.nextInt(5);
    Submission submission =
        switch (cluster.random.nextInt(3)) {
          case 0 -> Jobs.of(Jobs.gang(width, 1 << cluster.random.nextInt(4), millis));
          case 1 -> Jobs.of(Jobs.checkpointed(width, 1, millis));
          default -> Jobs.of(Jobs.tasks(width, 1, millis), Jobs.after(Jobs.tasks(2, 1, millis), 0));
        };
    String[] queues = {BatchCluster.URGENT, BatchCluster.NORMAL, BatchCluster.BULK};
    submit(queues[cluster.random.nextInt(queues.length)], submission);
  }

  /** Checks from now on until a time. */
  void checkUntil(long endMillis) {
    if (cluster.nowMillis() > endMillis) {
      return;
    }
    jobs.forEach(this::check);
    cluster.in(INTERVAL_MILLIS, () -> checkUntil(endMillis));
  }

  /** Returns a description of each time that a job was idle for too long. */
  List<String> breaches() {
    return breaches;
  }

  private void check(String job, Submission submission) {
    boolean accepted = cluster.submissions.get(job) instanceof CallAnswer.Accepted;
    boolean idle =
        accepted
            && !hasRuns(job)
            && readyStep(job).filter(this::hasSpare).isPresent()
            && !ended(job);
    if (!idle) {
      idleSince.remove(job);
      return;
    }
    long since = idleSince.computeIfAbsent(job, id -> cluster.nowMillis());
    if (cluster.nowMillis() - since > MAX_IDLE_MILLIS) {
      breaches.add(
          "job %s of %s has nothing running since %d ms".formatted(job, submission.steps(), since));
      idleSince.put(job, cluster.nowMillis());
    }
  }

  /** Returns whether the job is shown as ended, as one that has used up its attempts is. */
  private boolean ended(String job) {
    return cluster.notes(BatchLogEvent.JOB_ENDED).stream()
        .anyMatch(note -> note.arguments().getFirst().equals(job));
  }

  private boolean hasRuns(String job) {
    return cluster.executors.values().stream()
        .flatMap(executor -> executor.running().stream())
        .anyMatch(run -> run.task().job().equals(job));
  }

  /** Returns a step that is not done although all steps it depends on are. */
  private Optional<BatchStep> readyStep(String job) {
    List<BatchStep> steps = jobs.get(job).steps();
    for (int i = 0; i < steps.size(); i++) {
      boolean ready = steps.get(i).dependsOn().stream().allMatch(earlier -> done(job, earlier));
      if (ready && !done(job, i)) {
        return Optional.of(steps.get(i));
      }
    }
    return Optional.empty();
  }

  private boolean done(String job, int step) {
    for (int i = 0; i < jobs.get(job).steps().get(step).count(); i++) {
      if (!cluster.work.done(new TaskName(job, 0, step, i))) {
        return false;
      }
    }
    return true;
  }

  private static boolean suits(BatchStep step, FakeExecutor executor) {
    return step.placement().label().map(executor.profile().labels()::contains).orElse(true);
  }

  private boolean hasSpare(BatchStep step) {
    int needed = step.gang() ? step.count() : 1;
    long fitting = 0;
    ResourceVector used = ResourceVector.NONE;
    ResourceVector whole = ResourceVector.NONE;
    for (FakeExecutor executor : cluster.executors.values()) {
      ResourceVector free = executor.free();
      fitting += suits(step, executor) ? free.fits(step.demand()) : 0;
      whole = whole.plus(executor.profile().capacity());
      used = used.plus(executor.profile().capacity().minus(free));
    }
    return fitting >= 2L * needed && whole.minus(used).contains(used);
  }
}
