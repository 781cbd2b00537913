package org.fescuehook.logic.batch.statistics;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.WeakHashMap;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.RunEnd;
import org.fescuehook.model.fleet.Incarnation;
import org.fescuehook.model.fleet.RackId;

/**
 * Speeds of the executors, learned from the progress of their runs. A run is compared with the
 * estimate of its step, corrected by what the other runs of the step and of its queue have shown.
 */
public final class ExecutorSpeeds {

  /** Difference of two speeds, as logarithms, that matters for a placement: 25 percent. */
  private static final double CLASS_WIDTH = 0.25;

  /** Slowdown, as a logarithm, from which on an executor is reported as slow. */
  private static final double REPORTED_SLOWDOWN = -Math.log(2);

  /** Variance of the durations of a step's tasks; they differ by a third. */
  private static final double TASK_SPREAD = 0.1;

  /** Variance of the durations of the members of a gang, which have equal work. */
  private static final double MEMBER_SPREAD = 0.01;

  private static final int WHOLE_PERCENT = 100;
  private static final double PERCENT = 100;

  /** Bounds the memory for queues that were removed. */
  private static final int MAX_QUEUES = 256;

  private final boolean enabled;
  private final FleetSpeeds fleet = new FleetSpeeds();
  private final SpeedEvidence evidence = new SpeedEvidence(fleet);

  /**
   * Whether the members of a gang have been seen to progress on their own, as all gangs do then.
   */
  private boolean gangsProgressSeparately;

  private final SpeedRecord stored = new SpeedRecord();
  private final Map<String, QueueBias> queues = new LinkedHashMap<>();
  private final Map<StepProgress, StepObservation> steps = new WeakHashMap<>();

  /**
   * Creates statistics that know nothing yet.
   *
   * @param enabled whether anything is learned; otherwise all answers stay neutral
   */
  public ExecutorSpeeds(boolean enabled) {
    this.enabled = enabled;
  }

  /** Returns whether anything is learned. */
  public boolean enabled() {
    return enabled;
  }

  /**
   * Returns the natural logarithm of the speed of an executor relative to the usual speed of the
   * fleet; 0 if nothing is known.
   */
  public double logSpeed(Incarnation executor, long nowNanos) {
    return enabled
        ? fleet.find(executor, nowNanos).map(known -> evidence.speed(known, nowNanos)).orElse(0.0)
        : 0;
  }

  /** Returns the same without a temporary slowdown. */
  public double logLastingSpeed(Incarnation executor, long nowNanos) {
    return enabled
        ? fleet.find(executor, nowNanos).map(known -> fleet.lasting(known, nowNanos)).orElse(0.0)
        : 0;
  }

  /** Returns the speed of an executor relative to the usual speed of the fleet. */
  public double speed(Incarnation executor, long nowNanos) {
    return Math.exp(logSpeed(executor, nowNanos));
  }

  /**
   * Returns the class of a speed. Executors of one class count as equally fast; 0 is the usual
   * speed, and higher classes are faster.
   *
   * @param logSpeed logarithm of the speed
   */
  public static int speedClass(double logSpeed) {
    return (int) Math.rint(logSpeed / CLASS_WIDTH);
  }

  /** Returns the logarithm of the speed in the middle of a class. */
  public static double logOfClass(int speedClass) {
    return speedClass * CLASS_WIDTH;
  }

  /** Returns the lowest class whose middle is at least the given speed. */
  public static int classAtLeast(double logSpeed) {
    return (int) Math.ceil(logSpeed / CLASS_WIDTH);
  }

  /** Begins with the record that a former owner has stored. */
  public void restore(byte[] record) {
    if (enabled) {
      fleet.restore(SpeedRecord.decode(record));
    }
  }

  /** Returns the record to store for the next owner; absent if none is due. */
  public Optional<byte[]> nextRecord(long nowNanos) {
    return enabled && stored.due(nowNanos)
        ? stored.next(fleet.classes(nowNanos), fleet.differ(nowNanos), nowNanos)
        : Optional.empty();
  }

  /** Learns from the reported progress of a run. */
  public void progressed(ExecutorState executor, LiveRun run, BatchContext context) {
    if (!enabled || !comparable(executor, run) || run.percent() >= WHOLE_PERCENT) {
      return;
    }
    fleet.estimate(run.incarnation(), context.nowNanos()).locate(executor.profile().rack());
    observe(run, run.percent(), context);
  }

  /** Learns from the end of a run. */
  public void ended(ExecutorState executor, LiveRun run, RunEnd end, BatchContext context) {
    if (!enabled || end != RunEnd.DONE || !comparable(executor, run)) {
      return;
    }
    if (run.step().spec().gang()) {
      GangProgress gang = step(run).gang(run.run().number(), gangsProgressSeparately);
      // The slowest member ends the gang, so that the end shows nothing about the others.
      if (gang.separate() || !gang.firstEnd()) {
        return;
      }
    }
    fleet.estimate(run.incarnation(), context.nowNanos()).locate(executor.profile().rack());
    observe(run, WHOLE_PERCENT, context);
  }

  private static boolean comparable(ExecutorState executor, LiveRun run) {
    BatchStep spec = run.step().spec();
    return run.stage() == Stage.RUNNING
        && run.checkpoint().isEmpty()
        && spec.longRunning().isEmpty()
        && spec.estimateMillis() > 0
        && !run.wasThrottled()
        && spec.placement().affinity().filter(rack -> !isIn(executor, rack)).isEmpty();
  }

  private static boolean isIn(ExecutorState executor, RackId rack) {
    return executor.profile().rack().equals(rack);
  }

  private StepObservation step(LiveRun run) {
    String queue = run.step().job().job().queue().name();
    if (queues.size() > MAX_QUEUES) {
      queues.remove(queues.keySet().iterator().next());
    }
    return steps.computeIfAbsent(
        run.step(),
        first -> new StepObservation(queues.computeIfAbsent(queue, name -> new QueueBias())));
  }

  /** Tells whether all runs of a step are known to be in one rack, without which they are slow. */
  private boolean inOneRack(StepProgress step, long nowNanos) {
    List<Optional<RackId>> racks =
        step.liveRuns().stream()
            .map(run -> fleet.estimate(run.incarnation(), nowNanos).rack())
            .distinct()
            .toList();
    return racks.size() == 1 && racks.getFirst().isPresent();
  }

  private void observe(LiveRun run, int percent, BatchContext context) {
    if (run.step().spec().placement().sameRack() && !inOneRack(run.step(), context.nowNanos())) {
      return;
    }
    StepObservation step = step(run);
    if (!run.step().spec().gang()) {
      ProgressWindow window =
          step.windows()
              .computeIfAbsent(
                  run, first -> GangProgress.begin(run, List.of(), context.nowNanos()));
      observe(step, window, List.of(run), percent, TASK_SPREAD, context);
      return;
    }
    List<LiveRun> members = run.step().liveRuns();
    boolean complete =
        members.size() == run.step().spec().count()
            && members.stream().allMatch(member -> member.stage() == Stage.RUNNING);
    if (!complete) {
      return;
    }
    GangProgress gang = step.gang(run.run().number(), gangsProgressSeparately);
    boolean together = !gang.separate();
    if (gang.separate(percent)) {
      if (together) {
        gangsProgressSeparately = true;
        members.forEach(
            member -> fleet.estimate(member.incarnation(), context.nowNanos()).withdrawNormal());
      }
      ProgressWindow window =
          step.windows()
              .computeIfAbsent(run, first -> GangProgress.begin(run, members, context.nowNanos()));
      observe(step, window, List.of(run), percent, MEMBER_SPREAD, context);
    } else {
      ProgressWindow window = gang.window(run, members, context.nowNanos());
      observe(step, window, members, percent, 0, context);
    }
  }

  private void observe(
      StepObservation step,
      ProgressWindow window,
      List<LiveRun> runs,
      int percent,
      double spread,
      BatchContext context) {
    long now = context.nowNanos();
    List<SpeedEstimate> executors =
        runs.stream().map(run -> fleet.estimate(run.incarnation(), now)).distinct().toList();
    double expected =
        window.rated() ? window.rate() : evidence.slowest(executors, now) - step.bias();
    boolean conclusive =
        (percent == WHOLE_PERCENT && !window.rated()) || window.conclusive(percent, expected, now);
    if (!conclusive) {
      return;
    }
    double rate = window.rateAt(percent, now);
    if (window.rated()) {
      evidence.laterRate(window, executors, rate, now);
    } else {
      double rounding = window.roundingVariance(percent);
      evidence.firstRate(step, window, executors, rate, spread, rounding, now);
    }
    window.restart(percent, now);
    executors.forEach(executor -> report(executor, context));
  }

  /** Logs that the temporary slowdown of an executor has begun or ended. */
  private void report(SpeedEstimate executor, BatchContext context) {
    double slowdown = executor.slowdown(context.nowNanos());
    boolean slow = slowdown <= REPORTED_SLOWDOWN;
    if (slow == executor.reportedSlow()) {
      return;
    }
    executor.setReportedSlow(slow);
    context.note(
        BatchLogEvent.EXECUTOR_SPEED_CHANGED,
        executor.incarnation(),
        Math.round(PERCENT * Math.exp(evidence.speed(executor, context.nowNanos()))),
        Math.round(PERCENT * Math.exp(fleet.lasting(executor, context.nowNanos()))));
    context.count("fescuehook.batch.executors.slowed", "change", slow ? "begun" : "ended");
  }
}
