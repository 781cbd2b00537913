import java.nio.file.Path;

/**
 * A large job of tasks that save checkpoints runs beside a small one of two steps. The record of its
 * progress grows beyond what the store takes in one record.
 */
final class LargeRecord {

  private static final int TASKS = 6500;
  private static final long TASK_MILLIS = 5000;
  private static final int EXECUTORS = 33;

  /** When jobs are asked for after the end of the traffic: `finish_s`. */
  private static final long FINISH_MILLIS = 14_000;

  /** For how long a job may have nothing running while a task's turn has come. */
  private static final long IDLE_MILLIS = 3000;

  private LargeRecord() {}

  static int play(Path repository, Path recordFile, boolean trouble) throws Exception {
    try (Trial trial = new Trial(repository, recordFile, 3, EXECUTORS)) {
      if (!trial.awaitReady()) {
        return 2;
      }
      String small = "00000000000000a1";
      String large = "00000000000000b2";
      trial.work(small, 0, new Executor.Work(2000, 1024, 8000, false));
      trial.work(small, 1, new Executor.Work(2000, 1024, 2000, false));
      trial.work(large, 0, new Executor.Work(300, 512, TASK_MILLIS, true));
      int accepted =
          trial.submit(
              small,
              "{\"spec\":\"report\",\"steps\":[{\"count\":1,\"cpu\":2000,\"memMb\":1024,\"estimateMs\":8000},"
                  + "{\"count\":3,\"cpu\":2000,\"memMb\":1024,\"estimateMs\":2000,\"dependsOn\":[0]}]}");
      if (accepted != 200) {
        return 2;
      }
      if (trouble) {
        int status =
            trial.submit(
                large,
                "{\"spec\":\"sweep\",\"steps\":[{\"count\":" + TASKS + ",\"cpu\":300,\"memMb\":512,\"estimateMs\":"
                    + TASK_MILLIS + ",\"checkpointing\":true}]}");
        if (status != 200) {
          trial.record.note("the large job was not accepted");
          return 2;
        }
      }
      Trial.sleep(6000);
      trial.record.note("started: " + trial.count("started") + ", ended done: " + trial.count("done") + ", acknowledged: "
          + trial.count("acked done") + ", at work now: " + trial.activeRuns());
      // The traffic ends here.
      Trial.await(FINISH_MILLIS + 6000, () -> trial.state(trial.vms.get(1), small).equals("completed"));
      Trial.await(FINISH_MILLIS, () -> trial.activeRuns() == 0);
      long idleSince = trial.record.millis();
      String state = trial.state(trial.vms.get(0), small);
      boolean idle = !Trial.await(IDLE_MILLIS + 1000, () -> trial.activeRuns() > 0 || !trial.state(trial.vms.get(0), small).equals("in_progress"));
      trial.record.note("started: " + trial.count("started") + ", ended done: " + trial.count("done") + ", acknowledged: "
          + trial.count("acked done") + ", at work now: " + trial.activeRuns() + ", refused appends: " + trial.store.tooLarge());
      trial.record.note("the small job is '" + state + "' since " + idleSince + " ms; its first step "
          + (trial.events().stream().anyMatch(e -> e.task().startsWith(small + ".0.0") && e.kind().equals("done")) ? "has ended done" : "runs")
          + ", its second step has "
          + trial.events().stream().filter(e -> e.task().startsWith(small + ".0.1") && e.kind().equals("started")).count() + " starts");
      Http.Result further = trial.call(trial.vms.get(2), "POST", "00000000000000c3", "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":100,\"estimateMs\":100}]}");
      trial.record.note("a further small job is answered " + further.status());
      boolean lost = idle && state.equals("in_progress");
      trial.record.note("LOST: " + (lost ? "for 4 s the small job has nothing running, its turn has come, and no executor has any work" : "held"));
      return lost ? 1 : state.equals("completed") ? 0 : 2;
    }
  }
}
