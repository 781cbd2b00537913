import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Runs one case: {@code Case NAME RECORD}. The exit code is 10 if the rule held, 11 if it was
 * broken, and another one if the case could not run.
 */
public final class Case {

  private static final int HELD = 10;
  private static final int BROKEN = 11;
  private static final int NOT_RUN = 12;

  private Case() {}

  /** What a case does; the result says whether the rule was broken. */
  interface Play {
    boolean breaks(Path directory, Record record, boolean trouble) throws Exception;
  }

  public static void main(String[] arguments) throws Exception {
    Play play =
        switch (arguments[0]) {
          case "advice" -> AdviceCase::breaks;
          case "address" -> AddressCase::breaks;
          case "lasting" -> LastingCase::breaks;
          case "cuts" -> CutsCase::breaks;
          case "pending" -> PendingCase::breaks;
          case "services" -> ServicesCase::breaks;
          case "pipeline" -> PipelineCase::breaks;
          default -> throw new IllegalArgumentException(arguments[0]);
        };
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path directory = Files.createTempDirectory("review-");
    int code = NOT_RUN;
    try (Record record = new Record(Path.of(arguments[1]))) {
      try {
        record.write(trouble ? "with the disruption" : "without the disruption");
        boolean broken = play.breaks(directory, record, trouble);
        record.write(broken ? "BROKEN" : "held");
        code = broken ? BROKEN : HELD;
      } catch (Throwable e) {
        record.write("could not run: " + e);
        e.printStackTrace();
      }
    } finally {
      if (System.getenv("KEEP") == null) {
        delete(directory);
      }
    }
    Runtime.getRuntime().halt(code);
  }

  private static void delete(Path directory) throws IOException {
    List<Path> files;
    try (Stream<Path> all = Files.walk(directory)) {
      files = all.sorted(Comparator.reverseOrder()).toList();
    }
    for (Path file : files) {
      Files.deleteIfExists(file);
    }
  }

  /** Ends the processes of a cluster also if this process is told to end. */
  static void endWithThis(Cluster cluster) {
    Runtime.getRuntime().addShutdownHook(new Thread(cluster::close));
  }
}
