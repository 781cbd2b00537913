package org.fescuehook.logic.batch;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.BatchConfiguration;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.batch.JobQueue;
import org.fescuehook.model.batch.RunEnd;
import org.fescuehook.model.batch.TaskName;
import org.fescuehook.model.batch.TaskRun;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.Incarnation;
import org.fescuehook.model.preferences.SchedulingPreferences;

/**
 * A fleet under load in which a random third of the executors fails everything, in waves of 6 s.
 * Besides, 3 % of all runs fail and one job in fifty always fails.
 */
final class FailureWaves {

  private static final int EXECUTORS = 40;
  private static final int RACK_SIZE = 8;
  private static final long WAVE_MILLIS = 6_000;
  private static final long FIRST_WAVE_MILLIS = 14_000;
  private static final long WAVE_INTERVAL_MILLIS = 22_000;
  private static final int WAVES = 3;
  private static final long END_MILLIS = FIRST_WAVE_MILLIS + WAVES * WAVE_INTERVAL_MILLIS;
  private static final long FINISH_MILLIS = 30_000;
  private static final double OWN_FAILURES = 0.03;
  private static final double BAD_JOBS = 0.02;

  private final BatchCluster cluster;
  private final Random random;
  private final Map<String, BatchStep> goodJobs = new LinkedHashMap<>();
  private final List<ExecutorId> faulty = new ArrayList<>();
  private final Set<TaskRun> placedOnFaulty = new HashSet<>();
  private int placedBefore;

  /**
   * How gangs ended that do not always fail.
   *
   * @param gangs number of gangs
   * @param failed gangs that used up their attempts, for whatever reasons
   * @param failedByPlacement those of them whose last attempt was placed on a faulty executor
   * @param unfinished gangs that have not ended
   */
  record Result(int gangs, int failed, int failedByPlacement, int unfinished) {

    Result plus(Result other) {
      return new Result(
          gangs + other.gangs,
          failed + other.failed,
          failedByPlacement + other.failedByPlacement,
          unfinished + other.unfinished);
    }
  }

  FailureWaves(long seed, SchedulingPreferences scheduling) {
    cluster = new BatchCluster(2, 0, seed, configuration(), scheduling);
    random = new Random(seed);
    for (int i = 0; i < EXECUTORS; i++) {
      cluster.addExecutor("e" + i, "r" + i / RACK_SIZE);
    }
    cluster.work.failRuns(
        run -> new SplittableRandom(run.hashCode() * 31L + seed).nextDouble() < OWN_FAILURES);
  }

  /** Returns the queues of the fixtures with the attempts that the users allow. */
  private static BatchConfiguration configuration() {
    Map<String, JobQueue> queues = new HashMap<>();
    queues.put(BatchCluster.URGENT, queue(BatchCluster.URGENT, 0, 3, 1.63, 250));
    queues.put(BatchCluster.NORMAL, queue(BatchCluster.NORMAL, 1, 2, 3, 1000));
    queues.put(BatchCluster.BULK, queue(BatchCluster.BULK, 2, 3, 3, 3000));
    return new BatchConfiguration(1, queues, TestFixtures.configuration().organisations());
  }

  private static JobQueue queue(
      String name, int priority, int attempts, double factor, long latencyMillis) {
    return new JobQueue(
        name, TestFixtures.POOL, priority, attempts, factor, latencyMillis, false, false);
  }

  /** Runs the load and the waves; if asked, the owner fails in the middle of each wave. */
  Result run(boolean ownerFails) {
    cluster.awaitOwner();
    submitRegularly(BatchCluster.URGENT, 500, () -> Jobs.gang(5, 2, 2100));
    submitRegularly(BatchCluster.NORMAL, 2500, () -> Jobs.gang(13, 1, 9000));
    submitRegularly(BatchCluster.BULK, 1200, () -> Jobs.tasks(20, 1, 4000));
    for (int wave = 0; wave < WAVES; wave++) {
      long at = FIRST_WAVE_MILLIS + wave * WAVE_INTERVAL_MILLIS;
      cluster.in(at, this::beginWave);
      cluster.in(at + WAVE_MILLIS, this::endWave);
      if (ownerFails) {
        cluster.in(
            at + WAVE_MILLIS / 2, () -> cluster.restart(cluster.owner().orElseThrow().id, 500));
      }
    }
    cluster.run(END_MILLIS + FINISH_MILLIS);
    return result();
  }

  private void beginWave() {
    List<ExecutorId> ids = new ArrayList<>(cluster.executors.keySet());
    Collections.shuffle(ids, random);
    faulty.addAll(ids.subList(0, ids.size() / 3));
    faulty.forEach(cluster.work::failAllOn);
    placedBefore = cluster.notes(BatchLogEvent.RUN_PLACED).size();
  }

  private void endWave() {
    List<BatchCommand.Note> placed = cluster.notes(BatchLogEvent.RUN_PLACED);
    for (BatchCommand.Note note : placed.subList(placedBefore, placed.size())) {
      if (faulty.contains(((Incarnation) note.arguments().get(1)).id())) {
        placedOnFaulty.add((TaskRun) note.arguments().getFirst());
      }
    }
    faulty.forEach(cluster.work::restore);
    faulty.clear();
  }

  private void submitRegularly(String queue, long meanMillis, Supplier<BatchStep> step) {
    double at = 3_000;
    while (at < END_MILLIS) {
      at += -Math.log(1 - random.nextDouble()) * meanMillis;
      cluster.in((long) at, () -> submit(queue, step.get()));
    }
  }

  private void submit(String queue, BatchStep step) {
    boolean bad = random.nextDouble() < BAD_JOBS;
    if (cluster.owner().isEmpty()) {
      return;
    }
    String job = cluster.submit(queue, Jobs.of(step));
    if (!bad) {
      goodJobs.put(job, step);
      return;
    }
    for (int index = 0; index < step.count(); index++) {
      cluster.work.failAlways(new TaskName(job, 0, 0, index));
    }
  }

  private Result result() {
    Map<String, TaskRun> lastFailures = new HashMap<>();
    for (BatchCommand.Note note : cluster.notes(BatchLogEvent.RUN_ENDED)) {
      TaskRun run = (TaskRun) note.arguments().getFirst();
      if (note.arguments().get(2) == RunEnd.FAILED) {
        lastFailures.put(run.task().job(), run);
      }
    }
    int gangs = 0;
    int failed = 0;
    int failedByPlacement = 0;
    int unfinished = 0;
    for (Map.Entry<String, BatchStep> job : goodJobs.entrySet()) {
      if (!job.getValue().gang()) {
        continue;
      }
      gangs++;
      Optional<CallAnswer> answer = cluster.status(job.getKey());
      if (answer.equals(Optional.of(new CallAnswer.Phase(JobPhase.FAILED)))) {
        failed++;
        failedByPlacement += placedOnFaulty.contains(lastFailures.get(job.getKey())) ? 1 : 0;
      } else if (!answer.equals(Optional.of(new CallAnswer.Phase(JobPhase.COMPLETED)))) {
        unfinished++;
      }
    }
    return new Result(gangs, failed, failedByPlacement, unfinished);
  }
}
