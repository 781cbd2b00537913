package org.fescuehook.logic.batch;

import java.util.Optional;
import java.util.Random;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.BatchStep.PlacementRule;
import org.fescuehook.model.batch.Submission;
import org.fescuehook.model.fleet.RackId;

/** Schedules random jobs whose steps have placement rules of all kinds. */
final class PlacedJobs {

  private static final int JOBS = 30;

  /** A long-running job is cancelled after this time, and again while its caller has no answer. */
  private static final long CANCEL_AFTER_MILLIS = 9000;

  private static final long CANCEL_PAUSE_MILLIS = 2500;
  private static final int CANCELS = 12;

  private PlacedJobs() {}

  /** Schedules jobs in the first seconds of a history. */
  static void schedule(BatchCluster cluster, String... queues) {
    for (int i = 0; i < JOBS; i++) {
      String queue = queues[i % queues.length];
      cluster.in(1500 + cluster.random.nextInt(22_000), () -> submit(cluster, queue));
    }
  }

  private static void submit(BatchCluster cluster, String queue) {
    if (cluster.owner().isEmpty()) {
      // No VM accepts the job, and the next job would get the same id.
      return;
    }
    Submission submission = Jobs.of(step(cluster.random));
    String job = cluster.submit(queue, submission);
    if (submission.steps().getFirst().longRunning().isPresent()) {
      BatchCall cancel = new BatchCall.Cancel(queue, TestFixtures.KEY, job);
      for (int i = 0; i < CANCELS; i++) {
        cluster.in(CANCEL_AFTER_MILLIS + i * CANCEL_PAUSE_MILLIS, () -> cluster.call(cancel));
      }
    }
  }

  private static BatchStep step(Random random) {
    long millis = 800L + random.nextInt(6000);
    int limit = 1 + random.nextInt(2);
    return switch (random.nextInt(6)) {
      case 0 -> {
        PlacementRule rule = new PlacementRule(true, label(random), affinity(random), limit);
        yield Jobs.placed(Jobs.gang(1 + random.nextInt(3), 2, millis), rule);
      }
      case 1 -> {
        PlacementRule rule = new PlacementRule(false, label(random), Optional.empty(), limit);
        yield Jobs.placed(Jobs.longRunning(1 + random.nextInt(4), 1, 1, 0), rule);
      }
      case 2 -> {
        PlacementRule rule = new PlacementRule(false, label(random), affinity(random), 0);
        yield Jobs.placed(Jobs.checkpointed(1 + random.nextInt(12), 1, millis), rule);
      }
      default -> {
        PlacementRule rule = new PlacementRule(false, label(random), affinity(random), limit);
        yield Jobs.placed(Jobs.tasks(4 + random.nextInt(14), 1, millis), rule);
      }
    };
  }

  private static Optional<String> label(Random random) {
    return random.nextInt(3) == 0 ? Optional.of("r" + random.nextInt(2)) : Optional.empty();
  }

  private static Optional<RackId> affinity(Random random) {
    return random.nextInt(3) == 0
        ? Optional.of(new RackId("r" + random.nextInt(2)))
        : Optional.empty();
  }
}
