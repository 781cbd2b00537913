package org.fescuehook.spec;

import java.io.IOException;
import java.net.URI;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import tlc2.TLC;

/**
 * Runs the model checker TLC on one module and configuration.
 *
 * <p>TLC keeps its state in static fields, so each run starts a JVM of its own.
 */
final class TlcRunner {

  private static final Pattern COUNTS =
      Pattern.compile("(?m)^(\\d+) states generated, (\\d+) distinct states found, (\\d+) ");
  private static final Pattern VIOLATION =
      Pattern.compile("Error: (?:Invariant|Action property) (\\w+) is violated");
  private static final String TEMPORAL_VIOLATION = "Error: Temporal properties were violated";
  private static final String COMPLETED = "Model checking completed. No error has been found.";
  private static final int TIMEOUT_SECONDS = 110;

  private final Path specifications;
  private final Path scratch;
  private final Path classArchive;

  /**
   * Creates a runner.
   *
   * @param specifications directory of the modules and their configurations
   * @param scratch empty directory for the files that TLC writes
   * @param shared directory of the class data archive that all runs share
   */
  TlcRunner(Path specifications, Path scratch, Path shared) {
    this.specifications = specifications;
    this.scratch = scratch;
    this.classArchive = shared.resolve("classes.jsa");
  }

  /**
   * JIT compilation level of the JVM. Full optimization does not pay off in a run that ends early,
   * at the first violation.
   */
  enum Compiler {
    QUICK("-XX:TieredStopAtLevel=1"),
    FULL("-XX:TieredStopAtLevel=4");

    private final String option;

    Compiler(String option) {
      this.option = option;
    }
  }

  /** Result of model checking. */
  enum Verdict {
    HOLDS,
    VIOLATED,
    NOT_CHECKED
  }

  /**
   * Holds the outcome of a run.
   *
   * @param violated name of the violated property; empty for a temporal property, which TLC does
   *     not name
   */
  record Outcome(Verdict verdict, String violated, long generated, long distinct, String output) {}

  /** Checks a module with a configuration, for at most {@link #TIMEOUT_SECONDS}. */
  Outcome run(String module, String configuration, Compiler compiler)
      throws IOException, InterruptedException {
    Path output = scratch.resolve("output.txt");
    Process process =
        new ProcessBuilder(command(module, configuration, compiler))
            .directory(specifications.toFile())
            .redirectErrorStream(true)
            .redirectOutput(output.toFile())
            .start();
    boolean ended = process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    if (!ended) {
      process.destroyForcibly().waitFor();
    }
    return parse(Files.readString(output, StandardCharsets.UTF_8));
  }

  private List<String> command(String module, String configuration, Compiler compiler) {
    return List.of(
        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
        "-Xmx512m",
        compiler.option,
        "-XX:+UseParallelGC",
        "-XX:ParallelGCThreads=2",
        "-XX:+AutoCreateSharedArchive",
        "-XX:SharedArchiveFile=" + classArchive,
        "-Xlog:disable",
        "-Djava.io.tmpdir=" + scratch,
        "-cp",
        tlcJar().toString(),
        TLC.class.getName(),
        "-workers",
        "4",
        "-metadir",
        scratch.resolve("states").toString(),
        "-config",
        configuration,
        module);
  }

  private static Path tlcJar() {
    URL location = TLC.class.getProtectionDomain().getCodeSource().getLocation();
    return Path.of(URI.create(location.toString()));
  }

  private static Outcome parse(String output) {
    List<MatchResult> counts = COUNTS.matcher(output).results().toList();
    if (counts.isEmpty()) {
      return new Outcome(Verdict.NOT_CHECKED, "", 0, 0, output);
    }
    long generated = Long.parseLong(counts.getLast().group(1));
    long distinct = Long.parseLong(counts.getLast().group(2));
    return VIOLATION
        .matcher(output)
        .results()
        .findFirst()
        .map(found -> new Outcome(Verdict.VIOLATED, found.group(1), generated, distinct, output))
        .orElseGet(() -> outcomeWithoutNamedProperty(generated, distinct, output));
  }

  private static Outcome outcomeWithoutNamedProperty(long generated, long distinct, String output) {
    if (output.contains(TEMPORAL_VIOLATION)) {
      return new Outcome(Verdict.VIOLATED, "", generated, distinct, output);
    }
    Verdict verdict = output.contains(COMPLETED) ? Verdict.HOLDS : Verdict.NOT_CHECKED;
    return new Outcome(verdict, "", generated, distinct, output);
  }
}
