import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Jobs with a schedule of many times are handed in, after some other jobs of another tenant. */
public final class Case9 {

  private static final int SERVERS = 33;
  private static final int SCHEDULED_JOBS = 100;

  /** Every five minutes for 30 days. */
  private static final int MANY_TIMES = 8640;

  private static final int FEW_TIMES = 4;
  private static final long INTERVAL_MILLIS = 300_000;
  private static final long PAUSE_MILLIS = 200;
  private static final int PLAIN_JOBS = 4;
  private static final int CHAIN_STEPS = 60;
  private static final int TASKS = 2;
  private static final int ASKED_JOBS = 2;

  /** The rule asks for 4 calm seconds before it counts. */
  private static final long CALM_MILLIS = 4000;

  private static final long FINISH_MILLIS = 14_000;

  private Case9() {}

  public static void main(String[] args) throws Exception {
    Platform platform =
        new Platform(Path.of(args[0]), SERVERS, true, (task, run, on) -> new Server.Work(2500, "done"));
    if (!platform.vms.start()) {
      platform.unable("the VMs are not ready");
    }
    Idle idle = new Idle(platform, true);
    List<String> plain = new ArrayList<>();
    for (int i = 0; i < PLAIN_JOBS; i++) {
      String id = "00000000000000a%d".formatted(i);
      if (!platform.client.submit(Platform.NORMAL, Platform.KEY, id, platform.job(id, chain()))) {
        platform.unable("a job was not accepted");
      }
      plain.add(id);
      idle.add(id, () -> waiting(platform, id));
    }
    Thread.sleep(CALM_MILLIS);
    idle.begin();
    long start = System.currentTimeMillis() + 120_000;
    AtomicInteger accepted = new AtomicInteger();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < SCHEDULED_JOBS; i++) {
      String id = "5c4ed00000000%03x".formatted(i);
      Map<String, Object> job = platform.job(id, Step.of(1, 5600, 16_000, 1, 6000));
      job.put("repeatCount", Platform.trouble() ? MANY_TIMES : FEW_TIMES);
      job.put("startAtMs", start);
      job.put("intervalMs", INTERVAL_MILLIS);
      clients.add(Thread.ofPlatform().start(() -> {
        if (platform.client.submit(Platform.BATCH, Platform.OTHER_KEY, id, job)) {
          accepted.incrementAndGet();
        }
      }));
      Thread.sleep(PAUSE_MILLIS);
    }
    for (Thread client : clients) {
      client.join();
    }
    platform.journal.note("note", accepted + " of " + SCHEDULED_JOBS + " scheduled jobs accepted; the traffic ends");
    Thread.sleep(FINISH_MILLIS);
    List<String> broken = new ArrayList<>(idle.broken());
    for (String id : plain.subList(0, ASKED_JOBS)) {
      if (platform.client.stateAtAny(Platform.NORMAL, Platform.KEY, id).isEmpty()) {
        broken.add("LOST: accepted job " + id + " is not known, or no VM answers, 14 s after the end of the traffic");
      }
    }
    for (Vms.Vm vm : platform.vms.all()) {
      int errors = vm.lines("OutOfMemoryError").size();
      platform.journal.note("note", vm.name + ": " + errors + " log lines with OutOfMemoryError, process "
          + (vm.alive() ? "up" : "ended") + ", resident " + vm.memoryKilobytes() / 1024 + " MB, "
          + (vm.ready() ? "ready" : "not ready"));
    }
    platform.judge(broken);
  }

  /** Returns steps that run one after the other, for longer than the script. */
  private static Step[] chain() {
    Step[] steps = new Step[CHAIN_STEPS];
    for (int i = 0; i < CHAIN_STEPS; i++) {
      Step step = Step.of(TASKS, 7500, 31_000, 1, 2500);
      steps[i] = i == 0 ? step : step.after(i - 1);
    }
    return steps;
  }

  /** Returns the step that waits if nothing of the job runs. */
  private static Step waiting(Platform platform, String id) {
    return platform.history.running(id) ? null : Step.of(TASKS, 7500, 31_000, 1, 2500);
  }
}
