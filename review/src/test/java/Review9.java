import java.io.IOException;

/**
 * Runs cases 9 to 13 of the review: the VMs hang, or accepted jobs stand still or are shown in a
 * state that is not theirs. It is not part of the build.
 */
class Review9 {

  private static final int FIRST = 9;
  private static final int LAST = 13;

  /** Fails if the rule of a case is broken, or if a case cannot run. */
  void servesAcceptedJobs() throws IOException, InterruptedException {
    StringBuilder failed = new StringBuilder();
    for (int number = FIRST; number <= LAST; number++) {
      String script = "review/" + number + "/run.sh";
      int status = new ProcessBuilder(script).inheritIO().start().waitFor();
      if (status != 0) {
        failed.append(' ').append(script).append(" exited with ").append(status);
      }
    }
    if (!failed.isEmpty()) {
      throw new AssertionError(failed.toString().strip());
    }
  }
}
