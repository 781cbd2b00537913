import java.io.IOException;

/** Runs case 1 of the review: a job whose runs have failed on each executor that it may use. It is not part of the build. */
class Review1 {

  /** Fails if the rule is broken, or if the case cannot run. */
  void startsAgainOnceItsExecutorsAreSound() throws IOException, InterruptedException {
    int status = new ProcessBuilder("review/1/run.sh").inheritIO().start().waitFor();
    if (status != 0) {
      throw new AssertionError("review/1/run.sh exited with " + status);
    }
  }
}
