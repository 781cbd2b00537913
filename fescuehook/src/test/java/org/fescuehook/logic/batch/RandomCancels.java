package org.fescuehook.logic.batch;

import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.Submission;

/** Schedules long jobs and cancels that arrive before, during and after their submissions. */
final class RandomCancels {

  private static final long FIRST_ID = 0xc000;
  private static final int JOBS = 12;
  private static final int CALLS = 4;

  private RandomCancels() {}

  /**
   * Schedules the jobs and their cancels in the first seconds of a history.
   *
   * @param reordering whether some cancels arrive up to a second before their submissions, and
   *     submissions are repeated after their cancel was acknowledged
   */
  static void schedule(BatchCluster cluster, boolean reordering) {
    for (int i = 0; i < JOBS; i++) {
      String job = "%016x".formatted(FIRST_ID + i);
      long millis = 5000L + cluster.random.nextInt(10_000);
      int tasks = 1 + cluster.random.nextInt(3);
      Submission submission =
          Jobs.of(
              cluster.random.nextInt(3) == 0
                  ? Jobs.gang(tasks, 4, millis)
                  : Jobs.tasks(tasks, 4, millis));
      long at = 2500L + cluster.random.nextInt(20_000);
      submit(cluster, job, submission, at, reordering);
      long cancelAt =
          reordering && cluster.random.nextInt(4) == 0
              ? at - 1000L + cluster.random.nextInt(1100)
              : at + cluster.random.nextInt(5000);
      cancel(cluster, job, cancelAt);
    }
  }

  private static void submit(
      BatchCluster cluster, String job, Submission submission, long at, boolean reordering) {
    BatchCall call = new BatchCall.Submit(BatchCluster.NORMAL, TestFixtures.KEY, job, submission);
    for (int i = 0; i < CALLS; i++) {
      cluster.in(
          at + 600L * i,
          () -> {
            boolean accepted = cluster.submissions.get(job) instanceof CallAnswer.Accepted;
            if (!accepted && (reordering || !cluster.work.cancelled(job))) {
              cluster.call(call);
            }
          });
    }
  }

  private static void cancel(BatchCluster cluster, String job, long at) {
    BatchCall call = new BatchCall.Cancel(BatchCluster.NORMAL, TestFixtures.KEY, job);
    for (int i = 0; i < CALLS; i++) {
      cluster.in(
          at + 700L * i,
          () -> {
            if (!cluster.work.cancelled(job)) {
              cluster.call(call);
            }
          });
    }
  }
}
