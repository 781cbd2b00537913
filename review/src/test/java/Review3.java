import java.io.IOException;

/** Runs case 3 of the review: guaranteed accelerators that tasks which last have taken. It is not part of the build. */
class Review3 {

  /** Fails if the rule is broken, or if the case cannot run. */
  void startsWhatAGuaranteeCovers() throws IOException, InterruptedException {
    int status = new ProcessBuilder("review/3/run.sh").inheritIO().start().waitFor();
    if (status != 0) {
      throw new AssertionError("review/3/run.sh exited with " + status);
    }
  }
}
