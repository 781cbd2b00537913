package org.fescuehook.bench.policy;

import org.HdrHistogram.Histogram;
import org.fescuehook.logic.scheduling.Scheduler;

/** Measures how long each decision of a policy takes. */
final class TimedScheduler implements Scheduler {

  private static final int DIGITS = 3;

  private final Scheduler policy;
  private final Histogram nanos = new Histogram(DIGITS);

  TimedScheduler(Scheduler policy) {
    this.policy = policy;
  }

  @Override
  public Plan plan(View view) {
    long before = System.nanoTime();
    Plan plan = policy.plan(view);
    nanos.recordValue(System.nanoTime() - before);
    return plan;
  }

  Histogram nanos() {
    return nanos;
  }
}
