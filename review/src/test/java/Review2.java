import java.io.IOException;

/** Runs case 2 of the review: more than 500 ends that wait on an executor. It is not part of the build. */
class Review2 {

  /** Fails if the rule is broken, or if the case cannot run. */
  void runsNoTaskAgainThatIsDone() throws IOException, InterruptedException {
    int status = new ProcessBuilder("review/2/run.sh").inheritIO().start().waitFor();
    if (status != 0) {
      throw new AssertionError("review/2/run.sh exited with " + status);
    }
  }
}
