package org.fescuehook.bench.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;

/** Measures processor time of the calling thread, so that other load on the machine counts less. */
public final class CpuClock {
  private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();

  /** Work that is timed. */
  @FunctionalInterface
  public interface Work {
    /** Does it once. */
    void run() throws Exception;
  }

  /** Returns the median processor time of a run in microseconds, after as many runs to warm up. */
  public double medianMicros(int runs, Work work) throws Exception {
    for (int i = 0; i < runs; i++) {
      work.run();
    }
    double[] micros = new double[runs];
    for (int i = 0; i < runs; i++) {
      micros[i] = micros(work);
    }
    Arrays.sort(micros);
    return micros[runs / 2];
  }

  /** Returns the processor time of one run in microseconds. */
  public double micros(Work work) throws Exception {
    long start = threads.getCurrentThreadCpuTime();
    work.run();
    return (threads.getCurrentThreadCpuTime() - start) / 1e3;
  }
}
