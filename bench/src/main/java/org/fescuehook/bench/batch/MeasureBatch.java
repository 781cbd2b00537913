package org.fescuehook.bench.batch;

import java.util.Locale;
import java.util.Map;
import org.fescuehook.bench.Subcommand;
import org.fescuehook.bench.capacity.CpuClock;

/**
 * {@code measure batch}: the processor time of one plan by executors and waiting tasks, and the
 * time from a claim to the first decision by the number of stored jobs, both of the decision core
 * alone.
 */
public final class MeasureBatch implements Subcommand {

  private static final int[] EXECUTORS = {33, 100, 245, 810};
  private static final int[] TASKS = {100, 400, 1600, 6400};
  private static final int[] STORED_JOBS = {10, 100, 1000};
  private static final int SMALL_FLEET = 33;
  private static final int ACCELERATORS = 8;
  private static final int REPEATS = 31;
  private static final double MICROS_PER_MILLI = 1e3;

  private final CpuClock clock = new CpuClock();

  @Override
  public int run(String[] arguments) throws Exception {
    for (int i = 0; i < 3; i++) {
      plan(SMALL_FLEET, TASKS[1]);
    }
    System.out.println("| executors | waiting tasks | plan p50 ms | of the first size |");
    System.out.println("|---|---|---|---|");
    double first = 0;
    for (int executors : EXECUTORS) {
      for (int tasks : TASKS) {
        double millis = plan(executors, tasks);
        first = first == 0 ? millis : first;
        System.out.printf(
            Locale.ROOT, "| %d | %d | %.3f | %.1f |%n", executors, tasks, millis, millis / first);
      }
    }
    System.out.println();
    System.out.println("| stored jobs | from the claim to the first decision p50 ms |");
    System.out.println("|---|---|");
    for (int jobs : STORED_JOBS) {
      System.out.printf(Locale.ROOT, "| %d | %.2f |%n", jobs, recovery(jobs));
    }
    return 0;
  }

  /** Returns the median processor time of a plan of a full fleet, in milliseconds. */
  private double plan(int executors, int waitingTasks) throws Exception {
    LoadedOwner owner = new LoadedOwner(executors, LoadedOwner.emptyStream());
    owner.takeOver();
    owner.submitTasks(executors * ACCELERATORS + waitingTasks);
    return clock.medianMicros(REPEATS, owner::plan) / MICROS_PER_MILLI;
  }

  /** Returns the median processor time to load jobs, in milliseconds. */
  private double recovery(int jobs) throws Exception {
    Map<String, byte[]> stored = LoadedOwner.emptyStream();
    LoadedOwner former = new LoadedOwner(SMALL_FLEET, stored);
    former.takeOver();
    former.submitTasks(jobs * LoadedOwner.TASKS_PER_JOB);
    return clock.medianMicros(REPEATS, () -> new LoadedOwner(SMALL_FLEET, stored).takeOver())
        / MICROS_PER_MILLI;
  }
}
