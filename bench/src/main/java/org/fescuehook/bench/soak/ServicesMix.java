package org.fescuehook.bench.soak;

import java.util.List;
import java.util.SplittableRandom;
import org.fescuehook.bench.soak.judge.PlannedJob;

/**
 * Draws jobs of two services from a seed: urgent ones that keep the usual service full, and short
 * ones that leave most of the small service idle.
 */
final class ServicesMix {

  private static final int TASKS_PER_EXECUTOR = 4;

  /** Number of jobs from one that fills the usual service to the next one. */
  private static final int JOBS_PER_FILLING = 60;

  /** Somewhat longer than the time of {@link #JOBS_PER_FILLING} jobs. */
  private static final int FILLING_MILLIS = 16_000;

  private static final int LEAST_MILLIS = 50;
  private static final int MOST_MILLIS = 250;

  private final SplittableRandom random;
  private final int slots;
  private int drawn;

  ServicesMix(SoakSizes sizes) {
    this.random = new SplittableRandom(sizes.seed());
    this.slots = sizes.executors() * TASKS_PER_EXECUTOR;
  }

  JobMix.Draw next() {
    boolean fills = drawn % JOBS_PER_FILLING == 0;
    drawn++;
    String id = String.format("%016x", random.nextLong());
    int millis = random.nextInt(LEAST_MILLIS, MOST_MILLIS);
    PlannedJob job =
        fills
            ? job(id, FILLING_MILLIS, slots, PlannedJob.Queue.URGENT)
            : job(id, millis, 1, PlannedJob.Queue.SMALL);
    return new JobMix.Draw(job, new JobMix.Cancelling.Never(), 0);
  }

  private static PlannedJob job(String id, int millis, int tasks, PlannedJob.Queue queue) {
    String spec = "run:" + millis + " job " + id;
    return new PlannedJob(id, spec, List.of(new PlannedJob.Step(tasks, List.of())), queue);
  }
}
