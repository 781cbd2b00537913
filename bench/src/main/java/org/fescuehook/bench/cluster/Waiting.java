package org.fescuehook.bench.cluster;

import java.time.Duration;
import java.util.Optional;

/** Polls for a state of other processes. */
public final class Waiting {
  private static final long POLL_MILLIS = 20;

  private Waiting() {}

  /** A look at another process. */
  @FunctionalInterface
  public interface Probe<T> {
    /** Returns what is waited for, or empty while it is not there. */
    Optional<T> look() throws ClusterException, InterruptedException;
  }

  /**
   * Waits until a probe finds something; a probe that fails has found nothing.
   *
   * @throws ClusterException if nothing was found within the limit
   */
  public static <T> T until(String step, String peer, Duration limit, Probe<T> probe)
      throws ClusterException, InterruptedException {
    long deadline = System.nanoTime() + limit.toNanos();
    String last = "not yet";
    while (System.nanoTime() < deadline) {
      try {
        Optional<T> found = probe.look();
        if (found.isPresent()) {
          return found.get();
        }
      } catch (ClusterException e) {
        last = e.getMessage();
      }
      Thread.sleep(POLL_MILLIS);
    }
    throw new ClusterException(step, peer, "not within " + limit.toMillis() + " ms: " + last);
  }
}
