import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Two of 14 executors are lost for good. Urgent jobs that only they may run wait, on a queue that
 * needs advice. A less urgent job that needs advice as well, for which 12 executors are idle, has
 * to run.
 */
final class AdviceCase {

  private static final String JOB = "/advised/ad000000000000b1";
  private static final int URGENT_JOBS = 6;
  private static final double FINISH_SECONDS = 14;
  private static final double NOTHING_RUNS_SECONDS = 3;
  private static final double WATCHED_SECONDS = 45;

  private AdviceCase() {}

  static boolean breaks(Path directory, Record record, boolean trouble) throws Exception {
    try (Cluster cluster = new Cluster(directory, record, 3)) {
      Case.endWithThis(cluster);
      for (int i = 0; i < 12; i++) {
        cluster.addExecutor("kind-a", i / 4);
      }
      List<Executor> special =
          List.of(cluster.addExecutor("kind-b", 3), cluster.addExecutor("kind-b", 3));
      cluster.start();
      Cluster.Vm vm = cluster.vms().getFirst();
      if (trouble) {
        special.forEach(Executor::loseForGood);
      }
      Thread.sleep(6000);
      Map<String, Object> urgent = Cluster.step(1, 1000);
      urgent.put("requirements", "kind-b");
      for (int i = 0; i < URGENT_JOBS; i++) {
        cluster.submit(vm, "/advised-urgent/ad000000000000a" + i, urgent, 1000);
      }
      Thread.sleep(2000);
      cluster.submit(vm, JOB, Cluster.step(2, 1000), 1000);
      return neverRuns(cluster, record, vm);
    }
  }

  /** Tells whether nothing of the job ran for 3 s, from 14 s after the last submission on. */
  private static boolean neverRuns(Cluster cluster, Record record, Cluster.Vm vm) throws Exception {
    double submitted = record.seconds();
    double idleSince = submitted + FINISH_SECONDS;
    while (record.seconds() < submitted + WATCHED_SECONDS) {
      if (cluster.state(vm, JOB).equals(Optional.of("completed"))) {
        break;
      }
      if (cluster.executors().stream().anyMatch(executor -> executor.runs("ad000000000000b1"))) {
        idleSince = Math.max(record.seconds(), submitted + FINISH_SECONDS);
      }
      Thread.sleep(1000);
    }
    double idle = record.seconds() - idleSince;
    int running = cluster.executors().stream().mapToInt(Executor::running).sum();
    record.write(
        "the job had nothing running for "
            + Math.round(idle)
            + " s beyond "
            + FINISH_SECONDS
            + " s; runs on all executors now: "
            + running);
    return idle > NOTHING_RUNS_SECONDS;
  }
}
