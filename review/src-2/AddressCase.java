import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Two of 14 executors crash and start again 3 s later under their ids, at other addresses. A job
 * that only they may run, handed in after that, has to run.
 */
final class AddressCase {

  private static final int DOWN_MILLIS = 3000;
  private static final double FINISH_SECONDS = 14;
  private static final double NOTHING_RUNS_SECONDS = 3;
  private static final double WATCHED_SECONDS = 32;

  private AddressCase() {}

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
      Map<String, Object> step = Cluster.step(2, 1000);
      step.put("requirements", "kind-b");
      cluster.submit(vm, "00000000000000a1", step, 1000);
      cluster.awaitCondition(
          15,
          "the first job done",
          () -> cluster.state(vm, "00000000000000a1").equals(Optional.of("completed")));
      if (trouble) {
        special.forEach(Executor::crash);
        Thread.sleep(DOWN_MILLIS);
        for (Executor executor : special) {
          executor.restart();
        }
      }
      Thread.sleep(5000);
      cluster.submit(vm, "00000000000000a2", step, 1000);
      cluster.submit(vm, "00000000000000a3", Cluster.step(2, 1000), 1000);
      return neverRuns(cluster, record, vm, special);
    }
  }

  /** Tells whether nothing of the job ran for 3 s, from 14 s after the last submission on. */
  private static boolean neverRuns(
      Cluster cluster, Record record, Cluster.Vm vm, List<Executor> special) throws Exception {
    double submitted = record.seconds();
    double idleSince = submitted + FINISH_SECONDS;
    while (record.seconds() < submitted + WATCHED_SECONDS) {
      Optional<String> state = cluster.state(vm, "00000000000000a2");
      boolean runs = special.stream().anyMatch(executor -> executor.runs("00000000000000a2"));
      if (state.equals(Optional.of("completed"))) {
        return false;
      }
      if (runs) {
        idleSince = Math.max(record.seconds(), submitted + FINISH_SECONDS);
      }
      Thread.sleep(1000);
    }
    record.write(
        "job 00000000000000a2: nothing has run for "
            + Math.round(record.seconds() - idleSince)
            + " s beyond "
            + FINISH_SECONDS
            + " s, "
            + special.size()
            + " idle executors may run it");
    return record.seconds() - idleSince > NOTHING_RUNS_SECONDS;
  }
}
