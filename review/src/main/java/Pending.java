import java.nio.file.Path;
import java.util.List;

/**
 * Jobs that need a rack are accepted while the three executors of that rack answer starts with 503.
 * No task of them has started, and the queue is asked how many jobs are pending.
 */
final class Pending {

  private static final int EXECUTORS = 33;
  private static final int JOBS = 3;

  /** The site file plays `srv_grey` for up to 6.5 s. */
  private static final long UNHEALTHY_MILLIS = 6500;

  /** `visible_ms` and 2 s; jobs accepted longer ago have to be counted. */
  private static final long VISIBLE_MILLIS = 3000 + 2000;

  private Pending() {}

  static int play(Path repository, Path recordFile, boolean trouble) throws Exception {
    try (Trial trial = new Trial(repository, recordFile, 3, EXECUTORS)) {
      if (!trial.awaitReady()) {
        return 2;
      }
      String rack = Trial.rack(EXECUTORS - 1);
      List<Executor> ofRack = trial.executors.subList(0, EXECUTORS).stream().filter(e -> e.rack().equals(rack)).toList();
      trial.record.note(ofRack.size() + " of " + EXECUTORS + " executors are in rack " + rack);
      long begin = trial.record.millis();
      if (trouble) {
        ofRack.forEach(executor -> executor.setUnhealthy(true));
      }
      for (int i = 0; i < JOBS; i++) {
        String job = "%016x".formatted(0xd00L + i);
        trial.work(job, 0, new Executor.Work(5600, 16_000, 6000));
        int status =
            trial.submit(job, "{\"spec\":\"x\",\"steps\":[{\"count\":4,\"cpu\":5600,\"memMb\":16000,\"estimateMs\":6000,\"requirements\":\"" + rack + "\"}]}");
        if (status != 200) {
          return 2;
        }
      }
      long accepted = trial.record.millis();
      Trial.sleep(Math.max(0, accepted + VISIBLE_MILLIS + 400 - trial.record.millis()));
      long started = trial.count("started");
      int least = Integer.MAX_VALUE;
      for (Vm vm : trial.vms) {
        Http.Result answer = trial.call(vm, "GET", "", "");
        String digits = answer.body().replaceAll("[^0-9]", "");
        if (answer.status() == 200 && !digits.isEmpty()) {
          least = Math.min(least, Integer.parseInt(digits));
        }
      }
      boolean none = trial.count("started") == started && started == 0;
      long asked = trial.record.millis();
      trial.record.note("asked " + (asked - accepted) + " ms after the last of " + JOBS + " jobs was accepted: tasks started "
          + trial.count("started") + ", least pending " + least);
      if (trouble) {
        Trial.sleep(Math.max(0, begin + UNHEALTHY_MILLIS - trial.record.millis()));
        ofRack.forEach(executor -> executor.setUnhealthy(false));
      }
      boolean done = Trial.await(40_000, () -> trial.count("done") == JOBS * 4L);
      trial.record.note("tasks ended done: " + trial.count("done"));
      if (!done || least == Integer.MAX_VALUE || (trouble && !none)) {
        return 2;
      }
      boolean broken = none && least * 2 < JOBS;
      trial.record.note("MIXED: " + (broken ? least + " pending, though " + JOBS + " jobs have been accepted for over 5 s and none has begun" : "held"));
      return broken ? 1 : 0;
    }
  }
}
