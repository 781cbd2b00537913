import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the scheduler, started by the command and with the settings of the deploy file. */
final class Vm implements AutoCloseable {

  private static final Pattern SECTION = Pattern.compile("\\{\\{#([^}]+)}}\\R?(.*?)\\{\\{/\\1}}\\R?", Pattern.DOTALL);
  private static final Pattern VALUE = Pattern.compile("\\{\\{([^}#/]+)}}");

  private static final Random RANDOM = new Random();
  private static final Set<Integer> TAKEN = new HashSet<>();

  private final Process process;
  final String name;
  final String callers;
  final String readiness;

  Vm(String name, String zone, Path repository, Path folder, Map<String, String> site) throws IOException {
    this.name = name;
    List<Integer> ports = freePorts(4);
    this.callers = "127.0.0.1:" + ports.get(0);
    this.readiness = "127.0.0.1:" + ports.get(1);
    Map<String, String> fields = new java.util.HashMap<>(site);
    fields.put("nodeName", name);
    fields.put("zone", zone);
    fields.put("ip", "127.0.0.1");
    fields.put("listenAddrs.frontend", callers);
    fields.put("listenAddrs.ready", readiness);
    fields.put("internalPorts.0", String.valueOf(ports.get(2)));
    fields.put("internalPorts.1", String.valueOf(ports.get(3)));
    Path settings = folder.resolve(name + ".ini");
    Files.writeString(settings, fill(Files.readString(repository.resolve("deploy/settings.ini")), fields));
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(repository.resolve("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("deploy/system.toml names no command");
    }
    ProcessBuilder builder = new ProcessBuilder(List.of(run.group(1).split(" ")));
    builder.directory(repository.toFile());
    builder.environment().put("FESCUEHOOK_CONFIG", settings.toString());
    builder.redirectErrorStream(true).redirectOutput(folder.resolve(name + ".log").toFile());
    this.process = builder.start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
  }

  /** Takes free ports below those that the system gives to connections, each of them once. */
  private static synchronized List<Integer> freePorts(int count) throws IOException {
    List<Integer> ports = new ArrayList<>();
    while (ports.size() < count) {
      int port = 20_000 + RANDOM.nextInt(10_000);
      if (TAKEN.add(port)) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
          ports.add(socket.getLocalPort());
        } catch (IOException e) {
          // Another program uses it.
        }
      }
    }
    return ports;
  }

  /** Fills in the template of the settings as the platform does. */
  private static String fill(String template, Map<String, String> fields) {
    String sections =
        SECTION.matcher(template).replaceAll(
            found -> {
              String value = fields.get(found.group(1));
              return value == null ? "" : Matcher.quoteReplacement(found.group(2).replace("{{.}}", value));
            });
    return VALUE.matcher(sections).replaceAll(found -> Matcher.quoteReplacement(fields.getOrDefault(found.group(1), "")));
  }

  boolean ready() {
    return Http.call(readiness, "GET", "/-/readyz", Map.of("Host", "ready"), "", 1000).status() == 200;
  }

  boolean alive() {
    return process.isAlive();
  }

  long pid() {
    return process.pid();
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }
}
