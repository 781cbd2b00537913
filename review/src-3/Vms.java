import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** The entry VMs: processes that are started by the command of the deploy file. */
final class Vms {

  private static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");
  private static final int READY_TRIES = 200;
  private static final int FIRST_PORT = 12_000;
  private static final int LAST_PORT = 31_000;
  private static final int PORT_TRIES = 100;

  private final Path folder;
  private final Journal journal;
  private final List<Vm> vms = new ArrayList<>();

  /** One VM; it keeps its ports when it starts again. */
  final class Vm {
    final String name;
    final int callers;
    private final int readiness;
    private final Path settings;
    private final Path output;
    private Process process;

    private Vm(int number, int store) throws IOException {
      name = "vm-" + (number + 1);
      callers = freePort();
      readiness = freePort();
      settings = folder.resolve(name + ".ini");
      output = folder.resolve(name + ".log");
      Files.writeString(settings, """
          [identity]
          vm = %s
          failure-domain = %s
          [addresses]
          callers = 127.0.0.1:%d
          readiness = 127.0.0.1:%d
          peers = 127.0.0.1:%d
          metrics = 127.0.0.1:%d
          store = 127.0.0.1:%d
          [processor]
          share = 0.75
          cores = 1
          [bounds]
          executor-lease = 6000ms
          status-retention = 120s
          checkpoint-interval = 0.5s
          restore-time = 250ms
          stop-time = 200ms
          reclaim-bound = 2700ms
          availability-notice = 4500ms
          [scheduling]
          executor-speeds = on
          run-times = on
          start-reliability = on
          fair-shares = on
          reservations = off
          backlog-admission = on
          maintenance-waves = on
          """.formatted(name, ZONES.get(number % ZONES.size()), callers, readiness, freePort(), freePort(), store));
    }

    void start() throws IOException {
      ProcessBuilder builder = new ProcessBuilder(command());
      builder.environment().put("FESCUEHOOK_CONFIG", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
      process = builder.start();
      journal.note(name, "started, process " + process.pid());
    }

    boolean alive() {
      return process.isAlive();
    }

    void signal(String signal) throws IOException, InterruptedException {
      journal.note(name, "signal " + signal);
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    boolean ready() {
      try {
        return Http.send(readiness, "GET", "/-/readyz", Map.of("Host", "ready"), new byte[0], 1000).status() == 200;
      } catch (IOException e) {
        return false;
      }
    }

    /** Returns the lines of its log that contain a text. */
    List<String> lines(String text) throws IOException {
      try (var lines = Files.lines(output, StandardCharsets.UTF_8)) {
        return lines.filter(line -> line.contains(text)).toList();
      }
    }

    long memoryKilobytes() {
      try (var lines = Files.lines(Path.of("/proc/" + process.pid() + "/status"))) {
        return lines.filter(line -> line.startsWith("VmRSS:"))
            .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", ""))).findFirst().orElse(0);
      } catch (IOException e) {
        return 0;
      }
    }
  }

  Vms(Path folder, Journal journal, int count, int store) throws IOException {
    this.folder = folder;
    this.journal = journal;
    for (int i = 0; i < count; i++) {
      vms.add(new Vm(i, store));
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::end));
  }

  List<Vm> all() {
    return vms;
  }

  /** Starts all VMs and waits until they are ready; returns false if they don't become so. */
  boolean start() throws IOException, InterruptedException {
    for (Vm vm : vms) {
      vm.start();
    }
    for (int i = 0; i < READY_TRIES; i++) {
      if (vms.stream().allMatch(Vm::ready)) {
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  /** Ends all processes. */
  void end() {
    for (Vm vm : vms) {
      if (vm.process != null && vm.process.isAlive()) {
        vm.process.destroyForcibly();
        try {
          vm.process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          return;
        }
      }
    }
  }

  /** Returns the words of "run" in the deploy file. */
  private static List<String> command() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        List<String> words = new ArrayList<>(List.of(line.substring(7, line.length() - 1).split(" ")));
        words.set(0, new File(words.getFirst()).getAbsolutePath());
        return words;
      }
    }
    throw new IOException("no command in deploy/system.toml");
  }

  /** Returns a free port below those that the system gives to connections. */
  private static int freePort() throws IOException {
    for (int i = 0; i < PORT_TRIES; i++) {
      int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return socket.getLocalPort();
      } catch (BindException e) {
        // Another process has it.
      }
    }
    throw new IOException("no free port");
  }
}
