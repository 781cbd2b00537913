package org.fescuehook.bench.policy;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import org.HdrHistogram.Histogram;
import org.fescuehook.logic.scheduling.Scheduler;

/** Measures the processor time that each decision of a policy takes. */
final class TimedScheduler implements Scheduler {

  private static final int DIGITS = 3;
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  private final Scheduler policy;
  private final Histogram nanos = new Histogram(DIGITS);

  TimedScheduler(Scheduler policy) {
    this.policy = policy;
  }

  @Override
  public Plan plan(View view) {
    long before = THREADS.getCurrentThreadCpuTime();
    Plan plan = policy.plan(view);
    nanos.recordValue(THREADS.getCurrentThreadCpuTime() - before);
    return plan;
  }

  Histogram nanos() {
    return nanos;
  }
}
