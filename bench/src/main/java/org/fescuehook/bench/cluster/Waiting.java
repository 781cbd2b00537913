package org.fescuehook.bench.cluster;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;

/** Looks by a timer for a state of other processes. */
public final class Waiting {
  private static final long INTERVAL_MILLIS = 20;

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
    CompletableFuture<T> found = new CompletableFuture<>();
    AtomicReference<String> last = new AtomicReference<>("not there");
    ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    timer.scheduleWithFixedDelay(
        () -> look(probe, found, last), 0, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    try {
      return found.get(limit.toMillis(), TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      String detail = "not within " + limit.toMillis() + " ms: " + last.get();
      throw new ClusterException(step, peer, detail);
    } catch (ExecutionException e) {
      throw new ClusterException(step, peer, e.getCause());
    } finally {
      timer.shutdownNow();
    }
  }

  private static <T> void look(
      Probe<T> probe, CompletableFuture<T> found, AtomicReference<String> last) {
    try {
      probe.look().ifPresent(found::complete);
    } catch (ClusterException e) {
      last.set(e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException e) {
      found.completeExceptionally(e);
    }
  }
}
