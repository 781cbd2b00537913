package org.fescuehook.logic.batch;

import java.util.ArrayList;
import java.util.List;

/**
 * Plays random histories of a {@link BatchCluster}, one for each seed. The system properties {@code
 * histories} and {@code seed} replace the number of histories and the first seed.
 */
final class Histories {

  private static final long FIRST_SEED = 1;

  private Histories() {}

  /** A history that follows from a seed. */
  @FunctionalInterface
  interface History {

    /**
     * Plays the history.
     *
     * @param faults receives a description of each fault
     */
    void play(long seed, List<String> faults);
  }

  /** Plays the histories of the first seeds. */
  static void playAll(int count, History history) {
    int histories = Integer.getInteger("histories", count);
    long first = Long.getLong("seed", FIRST_SEED);
    for (long seed = first; seed < first + histories; seed++) {
      play(seed, history);
    }
  }

  /** Plays one history; a failure names the seed and the faults. */
  static void play(long seed, History history) {
    List<String> faults = new ArrayList<>();
    try {
      history.play(seed, faults);
    } catch (AssertionError | RuntimeException e) {
      throw new AssertionError("seed " + seed + ", faults " + faults, e);
    }
  }
}
