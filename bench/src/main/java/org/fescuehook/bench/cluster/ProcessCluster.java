package org.fescuehook.bench.cluster;

import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.fescuehook.standins.list.Member;

/**
 * Stand-ins and entry VMs as processes on loopback, with settings in a temporary directory. All
 * processes end with the cluster, and with the JVM that made it.
 */
public final class ProcessCluster implements AutoCloseable {
  private static final Duration START_LIMIT = Duration.ofSeconds(60);
  private static final String JAVA_OPTIONS = "FESCUEHOOK_JAVA_OPTIONS";

  private final Path programs;
  private final ClusterSizes sizes;
  private final ChildProcesses processes;
  private final HttpClient client = HttpCalls.sharedClient();
  private final StandIns standIns;

  /**
   * Starts the stand-ins.
   *
   * @param programs directory that holds the programs {@code fescuehook} and {@code
   *     fescuehook-standins}
   * @param keepFiles whether settings and output of the processes are left when the cluster ends
   */
  public ProcessCluster(Path programs, ClusterSizes sizes, boolean keepFiles)
      throws ClusterException, InterruptedException {
    this.programs = programs;
    this.sizes = sizes;
    this.processes = new ChildProcesses(keepFiles);
    this.standIns = startStandIns();
  }

  /** Returns the stand-ins. */
  public StandIns standIns() {
    return standIns;
  }

  /** Returns declarations of the whole fleet. */
  public String declarations() {
    return DeclarationsText.of(sizes, standIns);
  }

  /** Starts an entry VM without waiting for it. */
  public ChildProcess launchEntry(String name, int domain) throws ClusterException {
    Path settings = processes.write(name + ".ini", settings(name, domain));
    List<String> command =
        List.of(program("fescuehook"), "entry", "--settings", settings.toString());
    return processes.launch(name, command, Map.of(JAVA_OPTIONS, sizes.entryHeap()));
  }

  /** Waits until a launched entry VM listens, and puts it on the list of VMs. */
  public EntryVm awaitEntry(ChildProcess process) throws ClusterException, InterruptedException {
    EntryVm vm = EntryVm.await(process, client, START_LIMIT);
    putOnList(vm, "live");
    return vm;
  }

  /** Puts an entry VM on the list of VMs as live or leaving. */
  public void putOnList(EntryVm vm, String state) throws ClusterException, InterruptedException {
    String host = vm.peer().getAddress().getHostAddress();
    Member member = new Member(vm.name(), "entry", state, host, vm.peer().getPort());
    standIns.faults(Map.of("list", Map.of("put", List.of(member))));
  }

  /** Takes an entry VM off the list of VMs. */
  public void takeOffList(EntryVm vm) throws ClusterException, InterruptedException {
    standIns.faults(Map.of("list", Map.of("remove", List.of(vm.name()))));
  }

  /** Returns where settings and output of the processes are kept until the cluster is closed. */
  public Path directory() {
    return processes.directory();
  }

  /** Ends all processes at once and deletes their files, unless these are to be kept. */
  @Override
  public void close() {
    processes.close();
    client.close();
  }

  private StandIns startStandIns() throws ClusterException, InterruptedException {
    Path ports = processes.directory().resolve("ports.properties");
    List<String> command =
        List.of(
            program("fescuehook-standins"),
            "all",
            "--ports-file",
            ports.toString(),
            "--executors",
            Integer.toString(sizes.executors()),
            "--workers",
            Integer.toString(sizes.workers()));
    ChildProcess process = processes.launch("stand-ins", command, Map.of(JAVA_OPTIONS, "-Xmx256m"));
    return StandIns.await(process, ports, client, START_LIMIT);
  }

  private String program(String name) throws ClusterException {
    Path program = programs.resolve(name);
    if (!Files.isExecutable(program)) {
      throw new ClusterException("find program", program.toString(), "build it by mvn package");
    }
    return program.toString();
  }

  private String settings(String name, int domain) {
    StringBuilder text = new StringBuilder();
    text.append("[identity]\nvm = ").append(name).append("\n");
    text.append("failure-domain = domain-").append(domain).append("\n\n");
    text.append("[addresses]\nservice = 127.0.0.1:0\npeer = 127.0.0.1:0\n");
    text.append("operator = 127.0.0.1:0\n");
    text.append("log = ").append(standIns.text("log")).append("\n");
    text.append("list = ").append(standIns.text("list")).append("\n");
    sizes
        .settings()
        .forEach(
            (section, keys) -> {
              text.append("\n[").append(section).append("]\n");
              keys.forEach((key, value) -> text.append(key + " = " + value + "\n"));
            });
    return text.toString();
  }
}
