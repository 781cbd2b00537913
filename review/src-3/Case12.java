import java.nio.file.Path;
import java.util.List;

/** A job whose rack has one executor has one failed run. */
public final class Case12 {

  /** 8 executors a rack, so that the last one is alone in its rack. */
  private static final int SERVERS = 33;

  private static final long CALM_MILLIS = 4000;
  private static final long WATCHED_MILLIS = 20_000;

  private Case12() {}

  public static void main(String[] args) throws Exception {
    String id = "00000000000000a1";
    String task = id + ".0.0.0";
    Platform platform = new Platform(Path.of(args[0]), SERVERS, true, (name, run, on) -> {
      boolean fails = Platform.trouble() && run == 1;
      return new Server.Work(2000, fails ? "failed" : "done");
    });
    if (!platform.vms.start()) {
      platform.unable("the VMs are not ready");
    }
    String rack = platform.servers.getLast().rack;
    Idle idle = new Idle(platform, true);
    Thread.sleep(CALM_MILLIS);
    idle.begin();
    Step step = Step.of(1, 5600, 16_000, 1, 2000).on(rack);
    if (!platform.client.submit(Platform.BATCH, Platform.KEY, id, platform.job(id, step))) {
      platform.unable("the job was not accepted");
    }
    idle.add(id, () -> platform.history.running(id) || platform.history.done(task) ? null : step);
    Thread.sleep(WATCHED_MILLIS);
    String state = platform.client.stateAtAny(Platform.BATCH, Platform.KEY, id);
    List<History.Span> runs = platform.history.of(task);
    platform.journal.note("note", "job " + id + " is " + state + " after " + runs.size() + " runs");
    platform.judge(idle.broken());
  }
}
