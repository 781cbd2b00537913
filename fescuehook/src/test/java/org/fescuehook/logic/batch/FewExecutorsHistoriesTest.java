package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.BatchStep.PlacementRule;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.batch.JobQueue;
import org.fescuehook.model.batch.TaskRun;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.preferences.SchedulingPreferences;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Random histories in which executors fail all runs for a while and many jobs may use only a few of
 * them, because of a label, advice or the size of a gang. Guards against jobs that never start
 * again although they have attempts left. Each job has to end, and what executors saw decides
 * whether it may have failed.
 */
class FewExecutorsHistoriesTest {

  private static final int HISTORIES = 30;
  private static final int JOBS = 24;
  private static final long DAY_MILLIS = 30_000;

  /** Time without faults, in which each job has to end. */
  private static final long CALM_MILLIS = 90_000;

  private static final long LONGEST_FAULT_MILLIS = 6500;
  private static final String FEW = "few";

  private enum Trouble {
    FAILURES,
    FAILURES_AND_ADVICE,
    FAILURES_AND_CRASHES,
    FAILURES_AND_OTHERS
  }

  private final Map<String, BatchStep> steps = new HashMap<>();
  private final Map<String, JobQueue> queues = new HashMap<>();

  @ParameterizedTest
  @EnumSource(Trouble.class)
  void eachJobStartsAgainWhileItHasAttemptsLeft(Trouble trouble) {
    Histories.playAll(HISTORIES, (seed, faults) -> play(seed, trouble, faults));
  }

  private void play(long seed, Trouble trouble, List<String> faults) {
    boolean startReliability = seed % 2 == 0;
    BatchCluster cluster =
        new BatchCluster(
            3,
            4,
            seed,
            TestFixtures.configuration(),
            new SchedulingPreferences(false, false, startReliability, false, false, false, false));
    cluster.addExecutor("f0", FEW);
    cluster.addExecutor("f1", FEW);
    cluster.crashes.reportStartTimes();
    cluster.crashes.keepIds(true);
    if (trouble == Trouble.FAILURES_AND_ADVICE) {
      cluster.work.advice.allowOnly(Set.of(new ExecutorId("f0"), new ExecutorId("f1")));
    }
    steps.clear();
    queues.clear();
    for (int i = 0; i < JOBS; i++) {
      cluster.in(1500 + cluster.random.nextInt(24_000), () -> submit(cluster, trouble));
    }
    for (int i = 0; i < 4; i++) {
      long at = 2000L + cluster.random.nextInt(22_000);
      cluster.in(at, () -> faults.add(fail(cluster)));
      cluster.in(at + cluster.random.nextInt(3000), () -> faults.add(other(cluster, trouble)));
    }
    cluster.run(DAY_MILLIS + CALM_MILLIS);
    cluster.awaitOwner();
    cluster.run(2000);
    steps.keySet().forEach(job -> check(cluster, job));
  }

  private void submit(BatchCluster cluster, Trouble trouble) {
    if (cluster.owner().isEmpty()) {
      // No VM accepts the job, and the next job would get the same id.
      return;
    }
    String[] names = {BatchCluster.URGENT, BatchCluster.NORMAL, BatchCluster.BULK};
    String queue =
        trouble == Trouble.FAILURES_AND_ADVICE
            ? TestFixtures.ADVISED
            : names[cluster.random.nextInt(names.length)];
    BatchStep step = step(cluster);
    String job = cluster.submit(queue, Jobs.of(step));
    steps.put(job, step);
    queues.put(job, TestFixtures.configuration().queue(queue).orElseThrow());
  }

  private static BatchStep step(BatchCluster cluster) {
    long millis = 300L + cluster.random.nextInt(3000);
    Optional<String> label = cluster.random.nextInt(3) == 0 ? Optional.empty() : Optional.of(FEW);
    BatchStep step =
        switch (cluster.random.nextInt(4)) {
          case 0 -> Jobs.gang(2, 8, millis);
          case 1 -> Jobs.gang(1 + cluster.random.nextInt(3), 2, millis);
          case 2 -> Jobs.tasks(4 + cluster.random.nextInt(20), 1, millis);
          default -> Jobs.tasks(1, 1 + cluster.random.nextInt(8), millis);
        };
    return Jobs.placed(step, new PlacementRule(false, label, Optional.empty(), 0));
  }

  /** Lets the few executors, or some others as well, fail all that they run. */
  private static String fail(BatchCluster cluster) {
    List<ExecutorId> ids = new ArrayList<>(cluster.executors.keySet());
    Collections.shuffle(ids, cluster.random);
    List<ExecutorId> failing =
        cluster.random.nextBoolean()
            ? ids.stream().filter(id -> id.value().startsWith("f")).toList()
            : List.copyOf(ids.subList(0, 1 + cluster.random.nextInt(ids.size())));
    long length = 500L + cluster.random.nextInt((int) LONGEST_FAULT_MILLIS - 500);
    failing.forEach(cluster.work::failAllOn);
    cluster.in(length, () -> failing.forEach(cluster.work::restore));
    return failing + " fail at " + cluster.nowMillis() + " for " + length;
  }

  private static String other(BatchCluster cluster, Trouble trouble) {
    return switch (trouble) {
      case FAILURES, FAILURES_AND_ADVICE -> "nothing else";
      case FAILURES_AND_CRASHES -> {
        List<ExecutorId> up = cluster.crashes.up();
        ExecutorId id = up.get(cluster.random.nextInt(up.size()));
        cluster.crashes.restart(id, 300L + cluster.random.nextInt(3000));
        yield id + " crashed at " + cluster.nowMillis();
      }
      case FAILURES_AND_OTHERS -> RandomBatchHistoriesTest.fault(cluster);
    };
  }

  private void check(BatchCluster cluster, String job) {
    if (!(cluster.submissions.get(job) instanceof CallAnswer.Accepted)) {
      return;
    }
    JobPhase phase =
        cluster
            .status(job)
            .filter(CallAnswer.Phase.class::isInstance)
            .map(shown -> ((CallAnswer.Phase) shown).phase())
            .orElseThrow(() -> new AssertionError(job + " is not known"));
    boolean attemptsUsed = failures(cluster, job) >= queues.get(job).maxAttempts();
    boolean crashed = cluster.work.crashingTasks.crashesUnderJob(job) >= 2;
    assertTrue(
        phase == JobPhase.COMPLETED || (phase == JobPhase.FAILED && (attemptsUsed || crashed)),
        () -> "%s is %s, %d failures".formatted(job, phase, failures(cluster, job)));
  }

  /** Returns how often the gang, or the task that has failed most, has failed. */
  private int failures(BatchCluster cluster, String job) {
    var ofTasks =
        cluster.work.starts().stream()
            .map(TaskRun::task)
            .filter(task -> task.job().equals(job))
            .distinct()
            .mapToInt(cluster.work::failures);
    return steps.get(job).gang() ? ofTasks.sum() : ofTasks.max().orElse(0);
  }
}
