package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.batch.Submission;

/** Schedules random jobs for random histories, and checks the final status of each of them. */
final class RandomJobs {

  /**
   * Number of executors that must have crashed under a task before its job may be shown as failed.
   */
  private static final int MIN_CRASHES_OF_FAILED_JOB = 2;

  private RandomJobs() {}

  /** Schedules jobs of all kinds in the first seconds of a history; some of them are cancelled. */
  static void schedule(BatchCluster cluster) {
    for (int i = 0; i < 25; i++) {
      cluster.in(1500 + cluster.random.nextInt(20_000), () -> submit(cluster));
    }
  }

  /**
   * Schedules short jobs throughout a history, so that each executor soon reports ends of its own.
   */
  static void scheduleShort(BatchCluster cluster) {
    for (int i = 0; i < 40; i++) {
      cluster.in(1500 + cluster.random.nextInt(24_000), () -> submitShort(cluster));
    }
  }

  private static void submitShort(BatchCluster cluster) {
    long millis = 300L + cluster.random.nextInt(900);
    int count = 1 + cluster.random.nextInt(8);
    cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(count, 4, millis)));
  }

  private static void submit(BatchCluster cluster) {
    long millis = 500L + cluster.random.nextInt(4000);
    Submission submission =
        switch (cluster.random.nextInt(4)) {
          case 0 -> Jobs.of(Jobs.gang(1 + cluster.random.nextInt(4), 8, millis));
          case 1 -> Jobs.of(Jobs.checkpointed(1 + cluster.random.nextInt(12), 1, millis));
          case 2 ->
              Jobs.of(
                  Jobs.tasks(1 + cluster.random.nextInt(6), 2, millis),
                  Jobs.after(Jobs.gang(2, 4, 1000), 0));
          default -> Jobs.of(Jobs.tasks(1 + cluster.random.nextInt(6), 1, millis));
        };
    String[] queues = {BatchCluster.URGENT, BatchCluster.NORMAL, BatchCluster.BULK};
    String queue = queues[cluster.random.nextInt(queues.length)];
    String job = cluster.submit(queue, submission);
    if (cluster.random.nextInt(5) == 0) {
      BatchCall cancel = new BatchCall.Cancel(queue, TestFixtures.KEY, job);
      long at = cluster.random.nextInt(3000);
      cluster.in(at, () -> cluster.call(cancel));
      cluster.in(at + 700, () -> cluster.call(cancel));
    }
  }

  /** Checks the status of each submission at the end of a history against what has run. */
  static void check(BatchCluster cluster) {
    for (Map.Entry<String, CallAnswer> submission : cluster.submissions.entrySet()) {
      check(cluster, submission.getKey(), submission.getValue());
    }
  }

  /**
   * Checks the status of each accepted job in a history in which executors crash: a job whose tasks
   * crash executors must not be shown as completed, and a job may be shown as failed only if two
   * executors have crashed under one of its tasks.
   */
  static void checkWithCrashes(BatchCluster cluster, Set<String> crashing) {
    for (Map.Entry<String, CallAnswer> submission : cluster.submissions.entrySet()) {
      if (submission.getValue() instanceof CallAnswer.Accepted) {
        checkWithCrashes(cluster, submission.getKey(), crashing);
      }
    }
  }

  private static void checkWithCrashes(BatchCluster cluster, String job, Set<String> crashing) {
    Optional<CallAnswer> status = cluster.status(job);
    JobPhase phase =
        status
            .filter(CallAnswer.Phase.class::isInstance)
            .map(shown -> ((CallAnswer.Phase) shown).phase())
            .orElseThrow(() -> new AssertionError(job + " is shown as " + status));
    assertTrue(phase.ended(), () -> job + " is " + phase);
    assertTrue(
        phase != JobPhase.FAILED
            || cluster.work.crashingTasks.crashesUnderJob(job) >= MIN_CRASHES_OF_FAILED_JOB,
        () -> job + " is shown as failed without enough crashes");
    assertTrue(
        phase != JobPhase.COMPLETED || !crashing.contains(job),
        () -> job + " is shown as completed although its tasks crash executors");
    assertTrue(
        phase != JobPhase.CANCELLED || cluster.cancelSent(job), () -> job + " was not cancelled");
  }

  private static void check(BatchCluster cluster, String job, CallAnswer answer) {
    Optional<CallAnswer> status = cluster.status(job);
    boolean accepted = answer instanceof CallAnswer.Accepted;
    if (accepted && !cluster.work.cancelled(job)) {
      assertCompletedOrCancelled(cluster, job, status);
    }
    if (accepted && cluster.work.cancelled(job)) {
      assertTrue(
          status.filter(shown -> ((CallAnswer.Phase) shown).phase().ended()).isPresent(), job);
    }
    if (answer instanceof CallAnswer.Refused) {
      assertTrue(
          cluster.work.starts().stream().noneMatch(run -> run.task().job().equals(job)),
          () -> job + " was refused and ran");
    }
  }

  /**
   * Accepts a cancelled job only if a cancel was sent; a cancel whose answer was lost may have
   * taken effect.
   */
  private static void assertCompletedOrCancelled(
      BatchCluster cluster, String job, Optional<CallAnswer> status) {
    Optional<CallAnswer> completed = Optional.of(new CallAnswer.Phase(JobPhase.COMPLETED));
    Optional<CallAnswer> cancelled = Optional.of(new CallAnswer.Phase(JobPhase.CANCELLED));
    boolean asked = cluster.cancelSent(job);
    assertTrue(
        status.equals(completed) || (asked && status.equals(cancelled)), () -> job + ": " + status);
  }
}
