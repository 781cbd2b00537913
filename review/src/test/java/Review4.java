import java.io.IOException;

/**
 * Runs cases 4 to 8 of the review: accepted jobs that never run, or are shown as failed. It is not
 * part of the build.
 */
class Review4 {

  private static final int FIRST = 4;
  private static final int LAST = 8;

  /** Fails if the rule of a case is broken, or if a case cannot run. */
  void keepsAcceptedJobs() throws IOException, InterruptedException {
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
