package org.fescuehook.bench.soak;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.fescuehook.bench.cluster.ClusterException;

/**
 * How the programs of a soak are started.
 *
 * @param scheduler command up to the options of the subcommand {@code scheduler}
 * @param standIns command up to the arguments of the stand-ins
 * @param variables for the scheduler
 */
public record Programs(
    List<String> scheduler, List<String> standIns, Map<String, String> environment) {

  private static final String OPTIONS_VARIABLE = "FESCUEHOOK_JAVA_OPTIONS";
  private static final String STAND_IN_HEAP = "-Xmx384m";

  /** The options of the deployment that matter to how a VM behaves. */
  private static final List<String> JAVA_OPTIONS =
      List.of(
          "-Xmx48m",
          "-Xss256k",
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-XX:MaxDirectMemorySize=16m",
          "-XX:-UsePerfData",
          "-Dio.netty.allocator.type=unpooled",
          "-Dlogback.configurationFile=logback-scheduler.xml");

  /** Copies the collections. */
  public Programs {
    scheduler = List.copyOf(scheduler);
    standIns = List.copyOf(standIns);
    environment = Map.copyOf(environment);
  }

  /** Returns the programs that were built into a directory. */
  public static Programs built(Path directory) throws ClusterException {
    Map<String, String> options = Map.of(OPTIONS_VARIABLE, String.join(" ", JAVA_OPTIONS));
    return new Programs(
        List.of(program(directory, "fescuehook"), "scheduler"),
        List.of(program(directory, "fescuehook-standins")),
        options);
  }

  private static String program(Path directory, String name) throws ClusterException {
    Path program = directory.resolve(name);
    if (!Files.isExecutable(program)) {
      throw new ClusterException("find program", program.toString(), "build it by mvn package");
    }
    return program.toString();
  }

  /** Returns the variables of the stand-ins, which hold the records of all VMs. */
  Map<String, String> standInEnvironment() {
    return environment.isEmpty() ? environment : Map.of(OPTIONS_VARIABLE, STAND_IN_HEAP);
  }

  /** Returns the same programs from a class path, as tests have it. */
  public static Programs ofClassPath(String classPath) {
    Path java = Path.of(System.getProperty("java.home"), "bin", "java");
    List<String> scheduler = new ArrayList<>(List.of(java.toString()));
    scheduler.addAll(JAVA_OPTIONS);
    scheduler.addAll(List.of("-cp", classPath, "org.fescuehook.cli.Main", "scheduler"));
    List<String> standIns =
        List.of(java.toString(), STAND_IN_HEAP, "-cp", classPath, "org.fescuehook.standins.Main");
    return new Programs(scheduler, standIns, Map.of());
  }
}
