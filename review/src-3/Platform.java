import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A small deployment: the store, the servers of one service, three entry VMs and a client. */
final class Platform {

  static final String KEY = "d4a3hwrr6x73d3zji9n7";
  static final String OTHER_KEY = "3hh2b9wu3fexd9dnn2ct";

  /** Queues by their priority: 0 comes first. */
  static final String URGENT = "/pufi791/";

  static final String NORMAL = "/lohu930/";
  static final String BATCH = "/pule252/";

  /** Exit codes; 1 and 2 are left to Java and the shell, and run.sh translates these. */
  private static final int HELD = 20;

  private static final int BROKEN = 21;
  private static final int UNABLE = 22;

  /** A script ends by itself before the 120 seconds that it may take. */
  private static final long LONGEST_MILLIS = 112_000;

  private static final Server.Room ROOM = new Server.Room(64_000, 262_144, 8);

  private static final String CONFIGURATION = """
      {"version":7,"routes":[
      {"name":"r-batch","host":"jobs.example","pathPrefix":"/pule252/","kind":"non_idempotent","timeoutMs":3000,\
      "targetLatencyMs":3000,"priority":2,"service":"huvo11a","maxAttempts":2,"deadlineFactor":3.0,"public":false},
      {"name":"r-normal","host":"jobs.example","pathPrefix":"/lohu930/","kind":"non_idempotent","timeoutMs":3000,\
      "targetLatencyMs":1000,"priority":1,"service":"huvo11a","maxAttempts":3,"deadlineFactor":3.0,"public":false},
      {"name":"r-urgent","host":"jobs.example","pathPrefix":"/pufi791/","kind":"non_idempotent","timeoutMs":3000,\
      "targetLatencyMs":250,"priority":0,"service":"huvo11a","maxAttempts":4,"deadlineFactor":1.5,"public":false}],
      "services":[{"name":"huvo11a","healthPath":"/healthz","maxConns":64,"protocol":"h1","tls":false,\
      "constraints":true,"standby":false}],
      "limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
      "tenants":[{"name":"kaje80","apiKeys":["%s"],"priority":1,"guaranteed":{"gpu":0}},\
      {"name":"lumo33","apiKeys":["%s"],"priority":1,"guaranteed":{"gpu":0}}]}
      """.formatted(KEY, OTHER_KEY);

  final Journal journal;
  final Path folder;
  final Store store;
  final History history;
  final List<Server> servers = new ArrayList<>();
  final Vms vms;
  final Client client;
  private final Map<String, Step> steps = new ConcurrentHashMap<>();
  private final Gangs gangs = new Gangs();

  /** Decides what the runs of a job do. */
  interface Behaviour {
    Server.Work work(String taskId, long run, Server on);
  }

  Platform(Path caseFolder, int serverCount, boolean verbose, Behaviour behaviour) throws Exception {
    journal = new Journal(caseFolder.resolve("record.txt"));
    folder = Files.createTempDirectory("review-3-");
    store = new Store(journal);
    history = new History(journal, verbose);
    int port = store.start();
    store.put("keyed.op", "config", CONFIGURATION);
    Server.Tasks tasks = new Server.Tasks() {
      @Override
      public Step step(String taskId) {
        String[] parts = taskId.split("\\.");
        return steps.get(parts[0] + "." + parts[2]);
      }

      @Override
      public Server.Work work(String taskId, long run, Server on) {
        return behaviour.work(taskId, run, on);
      }
    };
    for (int i = 0; i < serverCount; i++) {
      Server server = new Server("i-7f3a%04x".formatted(i), "zone-" + "abc".charAt(i % 3), "r-" + i / 8, ROOM, "huvo11a",
          store, journal, tasks, history, gangs);
      server.start();
      servers.add(server);
    }
    vms = new Vms(folder, journal, 3, port);
    client = new Client(vms, journal);
    Thread.ofPlatform().daemon().start(this::limit);
  }

  private void limit() {
    try {
      Thread.sleep(LONGEST_MILLIS);
      unable("it took too long");
    } catch (InterruptedException | IOException e) {
      Runtime.getRuntime().halt(UNABLE);
    }
  }

  /** Returns whether the script brings its disruption about. */
  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  /** Returns the body of a job, whose tasks the servers know from then on. */
  Map<String, Object> job(String id, Step... ofJob) {
    for (int i = 0; i < ofJob.length; i++) {
      steps.put(id + "." + i, ofJob[i]);
    }
    return Step.job("report " + id, ofJob);
  }

  /** Returns whether there is room for a task of a step twice over, where it may run. */
  boolean roomTwice(Step step) {
    int room = 0;
    for (Server server : servers) {
      if (!step.requirements().isEmpty() && !step.requirements().equals(server.rack)) {
        continue;
      }
      room += server.fits(step, 2) ? 2 : server.fits(step, 1) ? 1 : 0;
    }
    return room >= 2;
  }

  /** Returns whether under half of the service's capacity is in use, of each resource. */
  boolean halfIdle() {
    long cpu = 0;
    long memMb = 0;
    long gpu = 0;
    for (Server server : servers) {
      Server.Room used = server.used();
      cpu += used.cpu();
      memMb += used.memMb();
      gpu += used.gpu();
    }
    long count = servers.size();
    return 2 * cpu < ROOM.cpu() * count && 2 * memMb < ROOM.memMb() * count && 2 * gpu < ROOM.gpu() * count;
  }

  /** Ends a script that could not run. */
  void unable(String cause) throws IOException {
    finish(UNABLE, "could not run: " + cause);
  }

  /** Ends a script with what was found broken; with nothing, the rule has held. */
  void judge(List<String> broken) throws IOException {
    if (broken.isEmpty()) {
      finish(HELD, "held");
    }
    broken.forEach(line -> journal.note("broken", line));
    finish(BROKEN, "broken: " + broken.getFirst());
  }

  private void finish(int status, String verdict) throws IOException {
    journal.note("verdict", verdict);
    System.out.println(verdict);
    vms.end();
    try (var files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    }
    Runtime.getRuntime().halt(status);
  }
}
