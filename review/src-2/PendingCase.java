import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One of 12 executors refuses all starts for 6.5 s. Jobs that only it may run have not begun, and
 * are to be counted as pending from 5 s after their acceptance on.
 */
final class PendingCase {

  private static final int JOBS = 4;
  private static final double REFUSING_SECONDS = 6.5;
  private static final double COUNTED_AFTER_SECONDS = 5;

  private PendingCase() {}

  static boolean breaks(Path directory, Record record, boolean trouble) throws Exception {
    try (Cluster cluster = new Cluster(directory, record, 3)) {
      Case.endWithThis(cluster);
      for (int i = 0; i < 11; i++) {
        cluster.addExecutor("kind-a", i / 4);
      }
      Executor special = cluster.addExecutor("kind-b", 3);
      cluster.start();
      Map<String, Object> step = Cluster.step(1, 1000);
      step.put("requirements", "kind-b");
      double begin = record.seconds();
      special.refuseStarts(trouble);
      List<String> jobs = new ArrayList<>();
      for (int i = 0; i < JOBS; i++) {
        jobs.add("00000000000000c" + i);
        cluster.submit(cluster.vms().get(i % 3), jobs.get(i), step, 1000);
      }
      double accepted = record.seconds();
      boolean broken = false;
      while (record.seconds() < begin + REFUSING_SECONDS) {
        for (Cluster.Vm vm : cluster.vms()) {
          Optional<Integer> shown = cluster.pending(vm);
          long waiting = jobs.stream().filter(job -> !record.begun(job)).count();
          boolean due = record.seconds() - accepted > COUNTED_AFTER_SECONDS;
          boolean inTime = record.seconds() < begin + REFUSING_SECONDS;
          if (due && inTime && shown.isPresent() && 2 * shown.get() < waiting) {
            record.write(
                vm.name() + " shows " + shown.get() + " pending, " + waiting + " have not begun");
            broken = true;
          }
        }
        Thread.sleep(200);
      }
      special.refuseStarts(false);
      return broken;
    }
  }
}
