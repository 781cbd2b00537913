package org.fescuehook.logic.batch.plan;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
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

  /** A failure that counts for less than this is not told apart from newer ones. */
  private static final Duration SHORTEST = Duration.ofSeconds(1);

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

  /**
   * Returns what a step avoids that has waited in an idle service, each less than the one before:
   * after executors on which it has not failed, those come on which its failures are oldest. A last
   * attempt goes on avoiding those that have just failed it: where a step has failed on each of the
   * few executors that suit it, its job counts as the cause, so that nothing else tells that they
   * are faulty.
   */
  static List<Avoidance> relaxations(WaitingStep waiting, long nowNanos) {
    Avoidance usual = usual(waiting, nowNanos);
    List<Avoidance> relaxations = new ArrayList<>();
    relaxations.add(usual);
    relaxations.add(new Avoidance(usual.failedOn(), false));
    if (waiting.maxAttempts() - waiting.failures() > 1) {
      for (Duration counted = USUAL.dividedBy(2);
          counted.compareTo(SHORTEST) > 0;
          counted = counted.dividedBy(2)) {
        relaxations.add(new Avoidance(failedSince(waiting, nowNanos - counted.toNanos()), false));
      }
      relaxations.add(NONE);
    } else {
      relaxations.add(least(waiting, nowNanos));
    }
    return relaxations;
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
