import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;

/**
 * An executor crashes while a large job of tasks that last and save checkpoints is at work. The
 * record of the job's progress is then larger than the store takes.
 */
final class LargeRecord {

  private static final int TASKS = 6000;
  private static final int EXECUTORS = 33;

  /** How long the executor is down; the site file plays `srv_crash` for up to 4.5 s. */
  private static final long DOWN_MILLIS = 3000;

  /** A task that lasts has to run again 6 s after its last run, after 4 s of calm and 3 s more. */
  private static final long DUE_MILLIS = 6000 + 4000 + 3000;

  private static final String LARGE = "00000000000000b2";
  private static final String SMALL = "00000000000000a1";

  private LargeRecord() {}

  static int play(Path repository, Path recordFile, boolean trouble) throws Exception {
    try (Trial trial = new Trial(repository, recordFile, 3, EXECUTORS)) {
      if (!trial.awaitReady()) {
        return 2;
      }
      trial.work(LARGE, 0, new Executor.Work(150, 512, 0, 500, true, true));
      trial.work(SMALL, 0, new Executor.Work(2000, 1024, 8000));
      trial.work(SMALL, 1, new Executor.Work(2000, 1024, 2000));
      int large =
          trial.submit(
              LARGE,
              "{\"spec\":\"replicas\",\"steps\":[{\"count\":" + TASKS
                  + ",\"cpu\":150,\"memMb\":512,\"estimateMs\":1000,\"checkpointing\":true,\"longRunning\":true,\"missAllowed\":500}]}");
      if (large != 200 || !Trial.await(15_000, () -> trial.activeRuns() == TASKS)) {
        trial.record.note("only " + trial.activeRuns() + " tasks are at work");
        return 2;
      }
      trial.record.note("all " + TASKS + " tasks of the large job are at work");
      int small =
          trial.submit(
              SMALL,
              "{\"spec\":\"report\",\"steps\":[{\"count\":1,\"cpu\":2000,\"memMb\":1024,\"estimateMs\":8000},"
                  + "{\"count\":3,\"cpu\":2000,\"memMb\":1024,\"estimateMs\":2000,\"dependsOn\":[0]}]}");
      if (small != 200) {
        return 2;
      }
      Trial.sleep(3000);
      if (trouble) {
        Executor crashing = trial.executors.get(5);
        crashing.crash();
        Trial.sleep(DOWN_MILLIS);
        crashing.startAgain();
        crashing.beat();
      } else {
        Trial.sleep(DOWN_MILLIS);
      }
      Trial.sleep(DUE_MILLIS + 4000);
      boolean missing = !Trial.await(4000, () -> running(trial) == TASKS);
      trial.record.note(running(trial) + " of " + TASKS + " tasks of the large job are at work; appends that the store refused: "
          + trial.store.tooLarge());
      String state = trial.state(trial.vms.get(0), SMALL);
      long secondStep =
          trial.events().stream().filter(e -> e.task().startsWith(SMALL + ".0.1") && e.kind().equals("started")).count();
      trial.record.note("the small job is '" + state + "'; its first step "
          + (trial.events().stream().anyMatch(e -> e.task().startsWith(SMALL + ".0.0") && e.kind().equals("done")) ? "has ended done" : "has not ended")
          + ", its second step has " + secondStep + " starts");
      trial.noteEvents(SMALL);
      int further = trial.submit("00000000000000c3", "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":100,\"estimateMs\":100}]}");
      trial.record.note("the last answer to a further job of one small task: " + further);
      trial.record.note("LOST: " + (missing ? "tasks that last have not run for over " + DUE_MILLIS + " ms, with room for them twice over" : "held"));
      return missing ? 1 : state.equals("completed") ? 0 : 2;
    }
  }

  /** Returns how many tasks of the large job are at work. */
  private static int running(Trial trial) {
    Set<String> running = new HashSet<>();
    for (Executor.Event event : trial.events()) {
      if (event.task().startsWith(LARGE)) {
        switch (event.kind()) {
          case "started" -> running.add(event.task());
          case "done", "stopped", "lapsed", "crashed" -> running.remove(event.task());
          default -> {}
        }
      }
    }
    return running.size();
  }
}
