import java.nio.file.Path;
import java.util.List;

/**
 * More than 500 runs end on one executor while the store is down, so that their ends cannot be
 * acknowledged and the executor lists the first 500 only.
 */
final class ManyEnds {

  private static final int TASKS = 1200;
  private static final long TASK_MILLIS = 6000;

  /** Length of the outage; the site file plays `platform_down` for up to 4.5 s. */
  private static final long OUTAGE_MILLIS = 4500;

  private ManyEnds() {}

  static int play(Path repository, Path recordFile, boolean trouble) throws Exception {
    try (Trial trial = new Trial(repository, recordFile, 3, 2)) {
      if (!trial.awaitReady()) {
        return 2;
      }
      String job = "5c0e7a21d94b36f8";
      trial.work(job, 0, new Executor.Work(100, 100, TASK_MILLIS));
      int status =
          trial.submit(job, "{\"spec\":\"sweep\",\"steps\":[{\"count\":" + TASKS + ",\"cpu\":100,\"memMb\":100,\"estimateMs\":" + TASK_MILLIS + "}]}");
      if (status != 200) {
        return 2;
      }
      if (!Trial.await(5000, () -> trial.count("started") >= TASKS)) {
        trial.record.note("only " + trial.count("started") + " tasks started in 5 s");
        return 2;
      }
      long first = trial.events().getFirst().atMillis();
      trial.record.note("all " + TASKS + " tasks started, the first at " + first + " ms");
      Trial.sleep(Math.max(0, first + TASK_MILLIS - 500 - trial.record.millis()));
      if (trouble) {
        trial.store.setDown(true);
      }
      Trial.sleep(OUTAGE_MILLIS);
      trial.record.note(
          trial.count("done") + " tasks have ended done; ends that wait for their acknowledgement: "
              + trial.executors.stream().map(Executor::listedEnds).toList());
      if (trouble) {
        trial.store.setDown(false);
      }
      boolean completed = Trial.await(25_000, () -> trial.state(trial.vms.get(1), job).equals("completed"));
      trial.record.note("the job is " + (completed ? "" : "not ") + "shown as completed");
      Trial.sleep(3000);
      trial.record.note(
          "starts: " + trial.count("started") + ", ended done: " + trial.count("done") + ", stopped: " + trial.count("stopped")
              + ", lapsed: " + trial.count("lapsed") + ", acknowledged done: " + trial.count("acked done"));
      trial.noteEvents(job);
      List<String> twice = trial.startsAfterDone();
      twice.stream().limit(10).forEach(trial.record::note);
      trial.record.note("TWICE: " + twice.size() + " starts after an acknowledged end 'done'");
      return twice.isEmpty() ? 0 : 1;
    }
  }
}
