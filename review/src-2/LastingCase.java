import java.nio.file.Path;
import java.util.Map;

/**
 * Urgent jobs come at once and take nine tenths of the accelerators of a service. A task that lasts
 * and fails after that has to be started again, as there is capacity for it.
 */
final class LastingCase {

  private static final String JOB = "00000000000000b1";
  private static final int EXECUTORS = 12;
  private static final int URGENT_JOBS = 6;
  private static final int TASKS_OF_URGENT_JOB = 15;
  private static final double RESTART_SECONDS = 6;
  private static final double NOTHING_RUNS_SECONDS = 3;
  private static final double WATCHED_SECONDS = 40;

  private LastingCase() {}

  static boolean breaks(Path directory, Record record, boolean trouble) throws Exception {
    try (Cluster cluster = new Cluster(directory, record, 3)) {
      Case.endWithThis(cluster);
      for (int i = 0; i < EXECUTORS; i++) {
        cluster.addExecutor("kind-a", i / 4);
      }
      cluster.start();
      Cluster.Vm vm = cluster.vms().getFirst();
      Map<String, Object> lasting = Cluster.step(1, 1000);
      lasting.put("longRunning", true);
      cluster.submit(vm, JOB, lasting, 0);
      cluster.awaitCondition(10, "the lasting task at work", () -> runs(cluster));
      if (trouble) {
        Map<String, Object> urgent = Cluster.step(TASKS_OF_URGENT_JOB, 1000);
        urgent.put("longRunning", true);
        for (int i = 0; i < URGENT_JOBS; i++) {
          cluster.submit(vm, "/urgent/00000000000000f" + i, urgent, 0);
        }
        int wanted = URGENT_JOBS * TASKS_OF_URGENT_JOB + 1;
        cluster.awaitCondition(20, "the urgent tasks at work", () -> running(cluster) == wanted);
      }
      Thread.sleep(8000);
      cluster.executors().forEach(executor -> executor.fail(JOB));
      return staysDown(cluster, record, vm);
    }
  }

  private static boolean runs(Cluster cluster) {
    return cluster.executors().stream().anyMatch(executor -> executor.runs(JOB));
  }

  private static int running(Cluster cluster) {
    return cluster.executors().stream().mapToInt(Executor::running).sum();
  }

  /** Tells whether the task did not run for 3 s, from 6 s after the end of its last run on. */
  private static boolean staysDown(Cluster cluster, Record record, Cluster.Vm vm) throws Exception {
    double ended = record.seconds();
    while (record.seconds() < ended + WATCHED_SECONDS) {
      cluster.state(vm, JOB);
      if (runs(cluster)) {
        record.write("the lasting task runs again");
        return false;
      }
      Thread.sleep(1000);
    }
    double down = record.seconds() - ended;
    record.write(
        "the lasting task has been down for "
            + Math.round(down)
            + " s, beside "
            + (8 * EXECUTORS - running(cluster))
            + " idle accelerators");
    return down > RESTART_SECONDS + NOTHING_RUNS_SECONDS;
  }
}
