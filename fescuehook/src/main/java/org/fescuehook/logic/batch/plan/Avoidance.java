package org.fescuehook.logic.batch.plan;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.fescuehook.logic.batch.state.TaskProgress;
import org.fescuehook.model.fleet.Incarnation;

/**
 * The executors that a step does not use for some time, so that a fault of an executor does not use
 * up the attempts of a task. Each avoidance ends by itself: a fault ends, or the failure was no
 * fault of the executor.
 *
 * @param failedOn executors on which the waiting tasks have recently failed; for a gang, those on
 *     which any member has
 * @param suspects whether suspect executors are avoided as well
 */
record Avoidance(Set<Incarnation> failedOn, boolean suspects) {

  /** Nothing is avoided. */
  static final Avoidance NONE = new Avoidance(Set.of(), false);

  /**
   * How long a failure counts if the tasks fit elsewhere. Faults of executors last about 6 s, and a
   * single failure is forgotten after 9 s.
   */
  static final Duration USUAL = Duration.ofSeconds(10);

  /**
   * How long a failure counts before the last attempt of a task that fits nowhere else; half of
   * that with two attempts left, and a quarter with more.
   */
  private static final long LAST_ATTEMPT_NANOS = Duration.ofSeconds(8).toNanos();

  private static final int MAX_HALVINGS = 2;

  /** Copies the set. */
  Avoidance {
    failedOn = Set.copyOf(failedOn);
  }

  /**
   * Returns what a step avoids if it fits elsewhere. Gangs avoid suspect executors in any case,
   * since one slow member delays all others; other steps do so while a failure counts.
   */
  static Avoidance usual(WaitingStep waiting, long nowNanos) {
    Set<Incarnation> failedOn = failedSince(waiting, nowNanos - USUAL.toNanos());
    return new Avoidance(failedOn, waiting.step().spec().gang() || !failedOn.isEmpty());
  }

  /** Returns what a step avoids although it fits nowhere else: executors that have just failed. */
  static Avoidance least(WaitingStep waiting, long nowNanos) {
    int furtherAttempts = Math.max(0, waiting.maxAttempts() - waiting.failures() - 1);
    long counted = LAST_ATTEMPT_NANOS >> Math.min(furtherAttempts, MAX_HALVINGS);
    return new Avoidance(failedSince(waiting, nowNanos - counted), false);
  }

  private static Set<Incarnation> failedSince(WaitingStep waiting, long earliestNanos) {
    Set<Incarnation> failedOn = new HashSet<>();
    for (TaskProgress task : waiting.tasks()) {
      failedOn.addAll(waiting.step().failedOnSince(task, earliestNanos));
    }
    return failedOn;
  }

  /** Tells whether an executor is avoided. */
  boolean avoids(Incarnation executor, boolean suspect) {
    return (suspects && suspect) || failedOn.contains(executor);
  }
}
