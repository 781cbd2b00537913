import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Two tenants choose the same id, each for a job in a queue of its own. */
public final class Case13 {

  private static final int SERVERS = 33;
  private static final int TASKS = 3;
  private static final long LONGEST_MILLIS = 15_000;
  private static final long CANCEL_MILLIS = 3000;

  private Case13() {}

  public static void main(String[] args) throws Exception {
    String shared = "0000000000000001";
    String other = Platform.trouble() ? shared : "0000000000000002";
    String kept = "0000000000000011";
    String unknown = Platform.trouble() ? kept : "0000000000000012";
    Platform platform = new Platform(Path.of(args[0]), SERVERS, true,
        (task, run, on) -> new Server.Work(task.startsWith(kept) ? 600_000 : 2500, "done"));
    if (!platform.vms.start()) {
      platform.unable("the VMs are not ready");
    }
    List<String> broken = new ArrayList<>();
    showStates(platform, shared, other, broken);
    cancel(platform, kept, unknown, broken);
    platform.judge(broken);
  }

  /** One tenant's job has one task, the other's has three; asks for the other's until it is completed. */
  private static void showStates(Platform platform, String shared, String other, List<String> broken)
      throws Exception {
    Step one = Step.of(1, 5600, 16_000, 1, 2500);
    Step several = Step.of(TASKS, 5600, 16_000, 1, 2500);
    if (!platform.client.submit(Platform.NORMAL, Platform.KEY, shared, platform.job(shared, one))) {
      platform.unable("the first job was not accepted");
    }
    if (!platform.client.submit(Platform.BATCH, Platform.OTHER_KEY, other, platform.job(other, several))) {
      platform.journal.note("note", "the second job was refused");
      return;
    }
    long end = platform.journal.millis() + LONGEST_MILLIS;
    String state = "";
    while (!state.equals("completed") && platform.journal.millis() < end) {
      Thread.sleep(500);
      state = platform.client.state(Platform.BATCH, Platform.OTHER_KEY, other);
    }
    int done = 0;
    for (int i = 0; i < TASKS; i++) {
      done += platform.history.done(other + ".0.0." + i) ? 1 : 0;
    }
    if (state.equals("completed") && done < TASKS) {
      broken.add("MIXED: job " + Platform.BATCH + other + " of " + TASKS + " tasks is shown as completed, " + done
          + " of its tasks have ended done, and those were another tenant's");
    }
  }

  /** The other tenant cancels an id in its own queue, in which it has handed in no such job. */
  private static void cancel(Platform platform, String kept, String unknown, List<String> broken) throws Exception {
    if (!platform.client.submit(Platform.NORMAL, Platform.KEY, kept,
        platform.job(kept, Step.of(1, 5600, 16_000, 1, 600_000)))) {
      platform.unable("the third job was not accepted");
    }
    Thread.sleep(1000);
    platform.client.call("DELETE", Platform.BATCH, Platform.OTHER_KEY, unknown, "");
    Thread.sleep(CANCEL_MILLIS);
    String state = platform.client.state(Platform.NORMAL, Platform.KEY, kept);
    if (state.equals("cancelled")) {
      broken.add("LOST: job " + Platform.NORMAL + kept + ", which nobody has cancelled, is shown as cancelled, and its"
          + " task was stopped");
    }
  }
}
