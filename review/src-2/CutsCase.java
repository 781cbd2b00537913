import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;

/**
 * One of 12 executors is cut off from the VMs for under 5.5 s, again and again, and runs on. A job that
 * only it may run is not to be shown as failed, as its task has not failed.
 */
final class CutsCase {

  private static final String JOB = "00000000000000b1";
  private static final int CUT_MILLIS = 5480;
  private static final double LAST_CUT_SECONDS = 95;

  private CutsCase() {}

  static boolean breaks(Path directory, Record record, boolean trouble) throws Exception {
    try (Cluster cluster = new Cluster(directory, record, 3)) {
      Case.endWithThis(cluster);
      for (int i = 0; i < 11; i++) {
        cluster.addExecutor("kind-a", i / 4);
      }
      Executor special = cluster.addExecutor("kind-b", 3);
      cluster.start();
      Cluster.Vm vm = cluster.vms().getFirst();
      Map<String, Object> step = Cluster.step(1, 9000);
      step.put("requirements", "kind-b");
      cluster.submit(vm, JOB, step, 9000);
      while (record.seconds() < LAST_CUT_SECONDS) {
        Optional<String> state = cluster.state(vm, JOB);
        if (state.equals(Optional.of("failed"))) {
          record.write("shown as failed, and no run has ended failed");
          return true;
        }
        if (state.equals(Optional.of("completed"))) {
          return false;
        }
        if (trouble && special.runs(JOB)) {
          Thread.sleep(500);
          awaitPhase(cluster, special);
          special.cut(true);
          Thread.sleep(CUT_MILLIS);
          special.cut(false);
        }
        Thread.sleep(500);
      }
      return false;
    }
  }

  /** Waits until the last renewal of the lease is 0.75 s to 0.95 s old; one comes each second. */
  private static void awaitPhase(Cluster cluster, Executor special) throws Exception {
    cluster.awaitCondition(
        10,
        "the phase of the renewals",
        () -> special.extendedMillisAgo() >= 750 && special.extendedMillisAgo() <= 950);
  }
}
