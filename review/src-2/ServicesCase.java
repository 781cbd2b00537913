import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Urgent jobs that last come at once and fill a service of 12 executors. A job of another service,
 * whose three executors are idle, has to run.
 */
final class ServicesCase {

  private static final String JOB = "/small/00000000000000e1";
  private static final int LARGE = 12;
  private static final int SMALL = 3;
  private static final int URGENT_JOBS = 6;
  private static final double FINISH_SECONDS = 14;
  private static final double NOTHING_RUNS_SECONDS = 3;
  private static final double WATCHED_SECONDS = 40;

  private ServicesCase() {}

  static boolean breaks(Path directory, Record record, boolean trouble) throws Exception {
    try (Cluster cluster = new Cluster(directory, record, 3)) {
      Case.endWithThis(cluster);
      for (int i = 0; i < LARGE; i++) {
        cluster.addExecutor("kind-a", i / 4);
      }
      List<Executor> small = new ArrayList<>();
      for (int i = 0; i < SMALL; i++) {
        small.add(cluster.addExecutor("kind-a", 3, Cluster.SMALL_SERVICE));
      }
      cluster.start();
      Cluster.Vm vm = cluster.vms().getFirst();
      if (trouble) {
        Map<String, Object> lasting = Cluster.step(8 * LARGE / URGENT_JOBS, 1000);
        lasting.put("longRunning", true);
        for (int i = 0; i < URGENT_JOBS; i++) {
          cluster.submit(vm, "/urgent/00000000000000f" + i, lasting, 0);
        }
        Thread.sleep(2000);
      }
      cluster.submit(vm, JOB, Cluster.step(2, 1000), 1000);
      return neverRuns(cluster, record, vm, small);
    }
  }

  /** Tells whether nothing of the job ran for 3 s, from 14 s after the last submission on. */
  private static boolean neverRuns(
      Cluster cluster, Record record, Cluster.Vm vm, List<Executor> small) throws Exception {
    double submitted = record.seconds();
    double idleSince = submitted + FINISH_SECONDS;
    while (record.seconds() < submitted + WATCHED_SECONDS) {
      if (cluster.state(vm, JOB).equals(Optional.of("completed"))) {
        break;
      }
      if (small.stream().anyMatch(executor -> executor.running() > 0)) {
        idleSince = Math.max(record.seconds(), submitted + FINISH_SECONDS);
      }
      Thread.sleep(1000);
    }
    double idle = record.seconds() - idleSince;
    record.write(
        "the job had nothing running for "
            + Math.round(idle)
            + " s beyond "
            + FINISH_SECONDS
            + " s, and all "
            + SMALL
            + " executors of its service were idle");
    return idle > NOTHING_RUNS_SECONDS;
  }
}
