import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A job of many small tasks that save checkpoints runs beside the jobs of another tenant. */
public final class Case11 {

  private static final int SERVERS = 33;
  private static final int MANY_TASKS = 8000;
  private static final int FEW_TASKS = 80;
  private static final int PAIRS = 4;
  private static final long FINISH_MILLIS = 14_000;
  private static final long WATCHED_MILLIS = 10_000;

  private Case11() {}

  public static void main(String[] args) throws Exception {
    String wide = "a11a000000000001";
    Platform platform = new Platform(Path.of(args[0]), SERVERS, true, (task, run, on) -> work(task, wide));
    if (!platform.vms.start()) {
      platform.unable("the VMs are not ready");
    }
    Step first = Step.of(1, 100, 400, 0, 1000);
    Step many = Step.of(Platform.trouble() ? MANY_TASKS : FEW_TASKS, 100, 400, 0, 300_000).after(0).saving();
    if (!platform.client.submit(Platform.BATCH, Platform.OTHER_KEY, wide, platform.job(wide, first, many))) {
      platform.unable("the wide job was not accepted");
    }
    Thread.sleep(6000);
    platform.journal.note("note", platform.history.startsOf(wide) + " tasks of the wide job started");
    Idle idle = new Idle(platform, true);
    idle.begin();
    List<String> pairs = new ArrayList<>();
    Step step = Step.of(2, 7500, 31_000, 1, 10_000);
    for (int i = 0; i < PAIRS; i++) {
      String id = "00000000000000a%d".formatted(i);
      if (!platform.client.submit(Platform.NORMAL, Platform.KEY, id, platform.job(id, step, step.after(0)))) {
        platform.unable("a job was not accepted");
      }
      pairs.add(id);
      idle.add(id, () -> waiting(platform, id, step));
    }
    platform.journal.note("note", "the traffic ends");
    Thread.sleep(FINISH_MILLIS + WATCHED_MILLIS);
    List<String> broken = idle.broken();
    for (String id : pairs) {
      String state = platform.client.stateAtAny(Platform.NORMAL, Platform.KEY, id);
      platform.journal.note("note", "job " + id + ": " + platform.history.startsOf(id) + " of 4 tasks started, " + state);
    }
    // One more job shows what callers are told; it is no part of the judgement.
    platform.client.submit(Platform.NORMAL, Platform.KEY, "00000000000000af",
        platform.job("00000000000000af", Step.of(1, 7500, 31_000, 1, 10_000)));
    platform.journal.note("note", platform.store.oversized() + " appends refused for a record above recordBytes");
    platform.judge(broken);
  }

  /** The first task of the wide step ends early, the others work for minutes. */
  private static Server.Work work(String task, String wide) {
    if (!task.startsWith(wide)) {
      return new Server.Work(10_000, "done");
    }
    if (task.equals(wide + ".0.0.0")) {
      return new Server.Work(1000, "done");
    }
    return new Server.Work(task.equals(wide + ".0.1.0") ? 12_000 : 300_000, "done");
  }

  /** Returns the second step if all tasks of the first one are done and none of the second runs. */
  private static Step waiting(Platform platform, String id, Step step) {
    History history = platform.history;
    boolean firstDone = history.done(id + ".0.0.0") && history.done(id + ".0.0.1");
    boolean secondDone = history.done(id + ".0.1.0") && history.done(id + ".0.1.1");
    return !firstDone || secondDone || history.running(id) ? null : step;
  }
}
