import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** One urgent job of many small steps is handed in while jobs of another tenant run. */
public final class Case10 {

  private static final int SERVERS = 33;
  private static final int RUNNING_JOBS = 12;
  private static final int TASKS = 14;
  private static final int MANY_STEPS = 4000;
  private static final int FEW_STEPS = 40;
  private static final long FINISH_MILLIS = 14_000;
  private static final long WATCHED_MILLIS = 12_000;

  /** The rule asks for 4 calm seconds before it counts. */
  private static final long CALM_MILLIS = 4000;

  private Case10() {}

  public static void main(String[] args) throws Exception {
    String wide = "d1d1000000000001";
    Platform platform = new Platform(Path.of(args[0]), SERVERS, true,
        (task, run, on) -> new Server.Work(task.startsWith(wide) ? 2000 : 100_000, "done"));
    if (!platform.vms.start()) {
      platform.unable("the VMs are not ready");
    }
    Idle idle = new Idle(platform, true);
    List<String> running = new ArrayList<>();
    Step step = Step.of(TASKS, 4000, 16_000, 0, 100_000);
    for (int i = 0; i < RUNNING_JOBS; i++) {
      String id = "00000000000000%02x".formatted(0xa0 + i);
      if (!platform.client.submit(Platform.BATCH, Platform.KEY, id, platform.job(id, step))) {
        platform.unable("a job was not accepted");
      }
      running.add(id);
      idle.add(id, () -> platform.history.running(id) ? null : step);
    }
    Thread.sleep(CALM_MILLIS);
    idle.begin();
    if (running.stream().anyMatch(id -> platform.history.startsOf(id) < TASKS)) {
      platform.unable("the jobs do not run");
    }
    Step[] steps = new Step[Platform.trouble() ? MANY_STEPS : FEW_STEPS];
    Arrays.fill(steps, Step.of(1, 1000, 1000, 8, 2000));
    String body = Json.write(platform.job(wide, steps));
    platform.journal.note("note", "a job of " + steps.length + " steps, a body of " + body.length() + " bytes");
    int status = platform.client.call("POST", Platform.URGENT, Platform.OTHER_KEY, wide, body);
    platform.journal.note("note", "answered " + status + "; the traffic ends");
    long end = platform.journal.millis();
    List<String> broken = new ArrayList<>();
    while (platform.journal.millis() < end + FINISH_MILLIS) {
      Thread.sleep(100);
    }
    for (String id : running.subList(0, 3)) {
      if (platform.client.stateAtAny(Platform.BATCH, Platform.KEY, id).isEmpty()) {
        broken.add("LOST: no VM answers for accepted job " + id + " 14 s after the end of the traffic");
      }
    }
    Thread.sleep(Math.max(0, end + FINISH_MILLIS + WATCHED_MILLIS - platform.journal.millis()));
    long lapsed = 0;
    for (String id : running) {
      lapsed += platform.history.endsOf(id, "lapsed");
    }
    platform.journal.note("note", lapsed + " of " + RUNNING_JOBS * TASKS + " running tasks ended lapsed");
    broken.addAll(idle.broken());
    platform.judge(broken);
  }
}
