package org.fescuehook.logic.batch.plan;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import org.fescuehook.logic.batch.plan.StepTiming.Prospect;
import org.fescuehook.logic.batch.state.TaskProgress;
import org.fescuehook.logic.batch.statistics.ExecutorStanding;
import org.fescuehook.logic.batch.statistics.StartReliability;
import org.fescuehook.model.batch.BatchStep;

/**
 * How reliable the executors of a step must be.
 *
 * @param maxFaultProbability largest fault probability of an executor
 * @param acceptsUnproven whether executors without evidence against them are accepted in any case,
 *     also during a wave of failures
 * @param proven whether runs must have ended well there
 * @param provenSince when such a run must have been started at the earliest, monotonic; empty if at
 *     any time
 * @param trial whether the step is suited to try doubted executors
 * @param soundSince doubted executors without evidence of a fault since then are accepted as well,
 *     monotonic; empty if doubts count without regard to their age
 */
record StartRequirement(
    double maxFaultProbability,
    boolean acceptsUnproven,
    boolean proven,
    OptionalLong provenSince,
    boolean trial,
    OptionalLong soundSince) {

  /** Any executor is reliable enough. */
  static final StartRequirement ANY =
      new StartRequirement(1, true, false, OptionalLong.empty(), false, OptionalLong.empty());

  /**
   * Wait after which a step starts on any executor. It exceeds the duration of two waves of
   * failures with the return to use after each.
   */
  private static final long MAX_WAIT_NANOS = Duration.ofSeconds(15).toNanos();

  /**
   * The same for a step with one attempt left. Until then it uses no executor whose fault may be
   * present still, so that it is not given up for one that has just failed the runs of others.
   */
  private static final long MAX_LAST_ATTEMPT_WAIT_NANOS = Duration.ofSeconds(30).toNanos();

  /**
   * Attempts left from which on a gang also starts on executors without any evidence during a wave
   * of failures: a member on a faulty executor fails soon, and another attempt remains.
   */
  private static final int ATTEMPTS_TO_SPARE = 2;

  /**
   * How long a long-running step waits for reliable executors. It has no objective that tells how
   * long it may wait.
   */
  private static final long LONG_RUNNING_WAIT_NANOS = Duration.ofSeconds(2).toNanos();

  /** Largest estimate of a task that is cheap although it saves no checkpoints. */
  private static final long MAX_TRIAL_MILLIS = 10_000;

  /** Share of the tasks of a step that may be placed on doubted executors at the same time. */
  private static final int TASKS_PER_TRIAL = 8;

  /**
   * Fault probability up to which a placement near the data may be waited for, since such doubts
   * are settled within a few seconds.
   */
  private static final double SETTLED_SOON = 0.5;

  /** Returns the requirement of a step by what is known about executors. */
  static StartRequirement of(WaitingStep waiting, StartReliability reliability, long nowNanos) {
    return reliability.enabled()
        ? of(
            waiting,
            reliability.newestFault(waiting.step()),
            reliability.presentFaultsSince(nowNanos))
        : ANY;
  }

  /**
   * Returns the requirement of a step.
   *
   * @param newestFault when the fault that its last failure may have shown was present, monotonic;
   *     empty if that is not known
   * @param presentFaultsSince time since which a fault must have been seen to be present still,
   *     monotonic; empty if faults may be present where none was seen
   */
  static StartRequirement of(
      WaitingStep waiting, OptionalLong newestFault, OptionalLong presentFaultsSince) {
    StepTiming timing = waiting.timing();
    int failures = waiting.failures();
    int attemptsLeft = waiting.maxAttempts() - failures;
    BatchStep spec = waiting.step().spec();
    boolean lastAttempt = attemptsLeft <= 1 && spec.longRunning().isEmpty();
    long maxWait = lastAttempt && failures > 0 ? MAX_LAST_ATTEMPT_WAIT_NANOS : MAX_WAIT_NANOS;
    if (timing.queuedNanos() > maxWait) {
      return ANY;
    }
    boolean hurried =
        spec.longRunning().isPresent()
            ? timing.queuedNanos() > LONG_RUNNING_WAIT_NANOS
            // A step that is too late to be of use has no reason to hurry any more.
            : timing.nearlyLate() && timing.prospect() != Prospect.TOO_LATE;
    double max = hurried ? ExecutorStanding.TOLERABLE : ExecutorStanding.USABLE;
    if (lastAttempt) {
      StartRequirement usual =
          new StartRequirement(
              ExecutorStanding.USABLE,
              false,
              failures > 0,
              newestFault,
              false,
              OptionalLong.empty());
      return timing.queuedNanos() > MAX_WAIT_NANOS
          ? usual.withoutProof().acceptingUnproven().acceptingPastFaults(presentFaultsSince)
          : usual;
    }
    boolean acceptsUnproven = !spec.gang() || attemptsLeft >= ATTEMPTS_TO_SPARE;
    return new StartRequirement(
        max, acceptsUnproven, false, OptionalLong.empty(), isCheap(waiting), OptionalLong.empty());
  }

  /** Tells whether another failure of a task, after those it had, would fail its job. */
  static boolean onLastAttempt(TaskProgress task, int maxAttempts) {
    return task.failures() > 0 && task.failures() + 1 >= maxAttempts;
  }

  /** Tells whether little is lost if a run of the step fails. */
  private static boolean isCheap(WaitingStep waiting) {
    BatchStep spec = waiting.step().spec();
    boolean single = !spec.gang() && spec.longRunning().isEmpty();
    boolean shortWork = spec.checkpointing() || spec.estimateMillis() <= MAX_TRIAL_MILLIS;
    return single && shortWork && !waiting.urgent() && !waiting.mayCrash();
  }

  /** Tells whether an executor is reliable enough. */
  boolean accepts(ExecutorStanding executor) {
    if (proven && !executor.provenSince(provenSince)) {
      return false;
    }
    if (executor.doubted() ? trial || faultIsPast(executor) : acceptsUnproven) {
      return true;
    }
    return executor.faultProbability() <= maxFaultProbability;
  }

  private boolean faultIsPast(ExecutorStanding executor) {
    return soundSince.isPresent() && executor.soundSince(soundSince.getAsLong());
  }

  /** Tells whether the number of tasks on a doubted executor is limited. */
  boolean limitsTrials() {
    return maxFaultProbability < 1 && soundSince.isEmpty();
  }

  /** Returns how many of some tasks may be placed on doubted executors at the same time. */
  int maxTrials(int tasks) {
    return trial ? Math.max(1, tasks / TASKS_PER_TRIAL) : tasks;
  }

  /** Returns the requirement of work that has time to wait. */
  StartRequirement strict() {
    boolean relaxed = !trial && maxFaultProbability > ExecutorStanding.USABLE && !this.equals(ANY);
    return relaxed
        ? new StartRequirement(
            ExecutorStanding.USABLE, acceptsUnproven, proven, provenSince, false, soundSince)
        : this;
  }

  /** Returns the same requirement without a limit on the tasks on a doubted executor. */
  StartRequirement withoutTrialLimit() {
    return accepting(1);
  }

  /** Returns the same requirement on executors on which no run is known to have ended well. */
  StartRequirement withoutProof() {
    return new StartRequirement(
        maxFaultProbability, acceptsUnproven, false, OptionalLong.empty(), trial, soundSince);
  }

  /**
   * Returns this requirement and lower ones, in the order to try them. Last attempts use no
   * executor whose fault may be present still, and others none that is more likely faulty than not.
   *
   * @param presentFaultsSince as for {@link #of}
   */
  List<StartRequirement> relaxations(OptionalLong presentFaultsSince) {
    StartRequirement last = withoutProof().acceptingPastFaults(presentFaultsSince);
    if (!acceptsUnproven) {
      return List.of(this, withoutProof(), last);
    }
    return List.of(this, accepting(ExecutorStanding.TOLERABLE), accepting(SETTLED_SOON), last);
  }

  private StartRequirement acceptingUnproven() {
    return new StartRequirement(maxFaultProbability, true, proven, provenSince, trial, soundSince);
  }

  private StartRequirement acceptingPastFaults(OptionalLong presentFaultsSince) {
    return new StartRequirement(
        maxFaultProbability, acceptsUnproven, proven, provenSince, trial, presentFaultsSince);
  }

  private StartRequirement accepting(double probability) {
    return new StartRequirement(
        Math.max(maxFaultProbability, probability),
        acceptsUnproven,
        proven,
        provenSince,
        trial,
        soundSince);
  }

  /** Returns the requirement that executors will meet soon if they are not faulty. */
  StartRequirement expectedSoon() {
    return withoutProof().accepting(SETTLED_SOON);
  }
}
