import java.nio.file.Path;

/**
 * Another tenant's large job of tasks that last takes accelerators beyond those that nobody is
 * guaranteed. Then a tenant hands in a job of priority 0 that its guarantee covers.
 */
final class Guarantee {

  private static final int EXECUTORS = 33;
  private static final String LASTING = "00000000000000b2";
  private static final String URGENT = "00000000000000a1";

  /** Tasks of 8 accelerators; both are within the widths of the site's kinds of request. */
  private static final int LASTING_TASKS = 21;

  private static final int URGENT_TASKS = 20;

  /** `reclaimMs`: all tasks of the first step have to begin within this time. */
  private static final long RECLAIM_MILLIS = 2700;

  /** How much longer the trial watches the job. */
  private static final long LONGER_MILLIS = 30_000;

  private Guarantee() {}

  static int play(Path repository, Path recordFile, boolean trouble) throws Exception {
    try (Trial trial = new Trial(repository, recordFile, 3, EXECUTORS)) {
      if (!trial.awaitReady()) {
        return 2;
      }
      trial.record.note("accelerators: " + EXECUTORS * 8 + ", guaranteed to tenant kaje80: " + Trial.GUARANTEED + ", to others: 0");
      trial.work(LASTING, 0, new Executor.Work(26_000, 110_000, 8, 500, false, true));
      trial.work(URGENT, 0, new Executor.Work(7500, 31_000, 8, 2500, false, false, new Executor.Gang(URGENT_TASKS)));
      if (trouble) {
        int status =
            trial.submit(
                Trial.PREFIX + LASTING,
                Trial.OTHER_KEY,
                "{\"spec\":\"service\",\"steps\":[{\"count\":" + LASTING_TASKS
                    + ",\"cpu\":26000,\"memMb\":110000,\"gpu\":8,\"estimateMs\":8500,\"longRunning\":true}]}");
        if (status != 200 || !Trial.await(10_000, () -> trial.activeRuns() == LASTING_TASKS)) {
          trial.record.note("only " + trial.activeRuns() + " tasks of the lasting job are at work");
          return 2;
        }
        trial.record.note("the lasting job of tenant lone11 holds " + LASTING_TASKS * 8 + " accelerators");
      }
      Trial.sleep(4000);
      int status =
          trial.submit(
              Trial.URGENT_PREFIX + URGENT,
              Trial.KEY,
              "{\"spec\":\"report\",\"steps\":[{\"count\":" + URGENT_TASKS
                  + ",\"cpu\":7500,\"memMb\":31000,\"gpu\":8,\"estimateMs\":2500,\"gang\":true}]}");
      if (status != 200) {
        return 2;
      }
      long accepted = trial.record.millis();
      trial.record.note("the job of priority 0 of tenant kaje80 needs " + URGENT_TASKS * 8 + " accelerators and is accepted");
      Trial.sleep(RECLAIM_MILLIS);
      long begun = trial.starts(URGENT);
      trial.record.note(begun + " of its " + URGENT_TASKS + " tasks have begun " + (trial.record.millis() - accepted) + " ms after that");
      boolean later = Trial.await(LONGER_MILLIS, () -> trial.starts(URGENT) >= URGENT_TASKS);
      trial.record.note(trial.starts(URGENT) + " of them have begun " + (trial.record.millis() - accepted) + " ms after that; at work: "
          + trial.activeRuns() + ", stopped: " + trial.count("stopped"));
      trial.noteEvents("");
      boolean broken = begun < URGENT_TASKS;
      trial.record.note("RECLAIM: " + (broken ? begun + " tasks of a guaranteed job begun in " + RECLAIM_MILLIS + " ms"
          + (later ? "" : ", and not all in " + LONGER_MILLIS + " ms more") : "held"));
      return broken ? 1 : 0;
    }
  }
}
