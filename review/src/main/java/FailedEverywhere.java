import java.nio.file.Path;
import java.util.List;

/**
 * The two executors of a rack fail what they start for a while. A job that needs this rack has an
 * attempt left when they are sound again.
 */
final class FailedEverywhere {

  private static final int EXECUTORS = 32;
  private static final String JOB = "5c0e7a21d94b36f8";

  /** The site file plays `srv_grey` with `errors` for a share of 0.085 and 6.5 s. */
  private static final long FAILING_MILLIS = 6500;

  /** After the end of a disruption machines are in touch again. */
  private static final long CONTACT_MILLIS = 3000;

  /** When jobs are asked for after the end of the traffic: `finish_s`. */
  private static final long FINISH_MILLIS = 14_000;

  /** For how long a job may have nothing running while a task's turn has come. */
  private static final long IDLE_MILLIS = 3000;

  private FailedEverywhere() {}

  static int play(Path repository, Path recordFile, boolean trouble) throws Exception {
    try (Trial trial = new Trial(repository, recordFile, 3, EXECUTORS)) {
      if (!trial.awaitReady()) {
        return 2;
      }
      String rack = Trial.rack(29);
      List<Executor> ofRack = trial.executors.stream().filter(e -> e.rack().equals(rack)).toList();
      trial.record.note(ofRack.size() + " of " + EXECUTORS + " executors are in rack " + rack);
      long begin = trial.record.millis();
      if (trouble) {
        ofRack.forEach(executor -> executor.setFailing(true));
      }
      trial.work(JOB, 0, new Executor.Work(7500, 31_000, 1, 2500, false, false));
      int status =
          trial.submit(
              JOB,
              "{\"spec\":\"report\",\"steps\":[{\"count\":1,\"cpu\":7500,\"memMb\":31000,\"gpu\":1,\"estimateMs\":2500,\"requirements\":\""
                  + rack + "\"}]}");
      if (status != 200) {
        return 2;
      }
      Trial.sleep(Math.max(0, begin + FAILING_MILLIS - trial.record.millis()));
      if (trouble) {
        ofRack.forEach(executor -> executor.setFailing(false));
      }
      long failed = trial.count("failed");
      trial.record.note("runs ended failed: " + failed + " of 4 that the queue allows");
      Trial.sleep(CONTACT_MILLIS);
      // The traffic ends here.
      Trial.await(FINISH_MILLIS, () -> trial.state(trial.vms.get(1), JOB).equals("completed"));
      long starts = trial.count("started");
      boolean idle = trial.activeRuns() == 0 && !Trial.await(IDLE_MILLIS + 1000, () -> trial.count("started") > starts);
      String state = trial.state(trial.vms.get(2), JOB);
      trial.record.note("the job is '" + state + "'; starts: " + trial.count("started") + ", ended done: " + trial.count("done")
          + ", ended failed: " + trial.count("failed") + ", at work now: " + trial.activeRuns());
      trial.noteEvents(JOB);
      boolean open = state.equals("in_progress") || state.equals("queued");
      boolean lost = open && idle && trial.count("failed") < 4;
      trial.record.note("LOST: " + (lost ? "for 4 s the job has nothing running, though an attempt is left and its executors are idle and sound" : "held"));
      return lost ? 1 : state.equals("completed") ? 0 : 2;
    }
  }
}
