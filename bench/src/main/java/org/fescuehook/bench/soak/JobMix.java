package org.fescuehook.bench.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.fescuehook.bench.soak.judge.PlannedJob;

/** Draws the jobs of the callers from a seed. */
final class JobMix {

  private static final int MOST_STEPS = 3;
  private static final int MOST_TASKS = 4;
  private static final int LEAST_MILLIS = 100;
  private static final int MOST_MILLIS = 900;
  private static final double CHAINED = 0.7;
  private static final double CANCELLED = 0.15;
  private static final double REPEATED = 0.25;

  /** Part of the jobs whose tasks crash the executors that start them. */
  private static final double CRASHING = 0.03;

  private static final int LATEST_CRASH_MILLIS = 400;

  private final SplittableRandom random;

  /** Drawn apart, so that a seed means the same jobs otherwise. */
  private final SplittableRandom crashes;

  JobMix(long seed) {
    this.random = new SplittableRandom(~seed);
    this.crashes = new SplittableRandom(seed);
  }

  /**
   * A job and what its caller does besides asking for its state.
   *
   * @param cancelAfterMillis time from its acceptance to its cancelling, 0 for none
   * @param repeatAfterMillis time from its acceptance to another submission, 0 for none
   */
  record Draw(PlannedJob job, long cancelAfterMillis, long repeatAfterMillis) {}

  Draw next() {
    String id = String.format("%016x", random.nextLong());
    String runs = "run:" + random.nextInt(LEAST_MILLIS, MOST_MILLIS);
    String spec = (crashes.nextDouble() < CRASHING ? crash() : runs) + " job " + id;
    List<PlannedJob.Step> steps = new ArrayList<>();
    int count = 1 + random.nextInt(MOST_STEPS);
    for (int step = 0; step < count; step++) {
      boolean chained = step > 0 && random.nextDouble() < CHAINED;
      List<Integer> dependsOn = chained ? List.of(random.nextInt(step)) : List.of();
      steps.add(new PlannedJob.Step(1 + random.nextInt(MOST_TASKS), dependsOn));
    }
    long cancel = random.nextDouble() < CANCELLED ? random.nextLong(1, 2500) : 0;
    long repeat = random.nextDouble() < REPEATED ? random.nextLong(1000, 6000) : 0;
    return new Draw(new PlannedJob(id, spec, steps), cancel, repeat);
  }

  private String crash() {
    return PlannedJob.CRASHES + crashes.nextInt(LATEST_CRASH_MILLIS);
  }
}
