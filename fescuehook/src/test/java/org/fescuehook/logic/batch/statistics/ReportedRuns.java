package org.fescuehook.logic.batch.statistics;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.executor.OrderBaseline;
import org.fescuehook.logic.batch.state.ActiveJob;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.model.batch.BatchJob;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.batch.JobQueue;
import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.batch.RunEnd;
import org.fescuehook.model.batch.Submission;
import org.fescuehook.model.batch.TaskRun;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.Incarnation;
import org.fescuehook.model.fleet.RackId;

/** Runs on executors, and what they report to the statistics of an owner. */
final class ReportedRuns {

  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long STARTED_AT = 3_600_000 * NANOS_PER_MILLI;

  final ExecutorSpeeds speeds;
  final RunTimes runTimes;
  private long nowNanos = STARTED_AT;
  private int jobs;

  ReportedRuns(boolean enabled) {
    speeds = new ExecutorSpeeds(enabled);
    runTimes = new RunTimes(enabled, speeds);
  }

  long nowNanos() {
    return nowNanos;
  }

  void pass(long millis) {
    nowNanos += millis * NANOS_PER_MILLI;
  }

  static ExecutorState executor(String name, String rack) {
    return executor(name, rack, OptionalLong.empty());
  }

  static ExecutorState executor(String name, String rack, OptionalLong bornMillis) {
    return new ExecutorState(
        new ExecutorProfile(
            new Incarnation(new ExecutorId(name), bornMillis),
            InetSocketAddress.createUnresolved(name, 1),
            "pool",
            new FailureDomain("domain"),
            new RackId(rack),
            Set.of(),
            new ResourceVector(64_000, 262_144, 8),
            false,
            0),
        new OrderBaseline(0, 0));
  }

  static BatchStep tasks(int count, long estimateMillis) {
    return step(count, estimateMillis, false, false);
  }

  static BatchStep gang(int count, long estimateMillis) {
    return step(count, estimateMillis, true, false);
  }

  static BatchStep gangInOneRack(int count, long estimateMillis) {
    return step(count, estimateMillis, true, true);
  }

  private static BatchStep step(int count, long estimate, boolean gang, boolean sameRack) {
    return new BatchStep(
        count,
        new ResourceVector(1000, 1000, 1),
        estimate,
        List.of(),
        new BatchStep.PlacementRule(sameRack, Optional.empty(), Optional.empty(), 0),
        false,
        gang,
        "image");
  }

  /** Starts a run of each task, on the executors in turn. */
  List<LiveRun> start(String queue, BatchStep spec, List<ExecutorState> executors) {
    jobs++;
    JobQueue declared = new JobQueue(queue, "pool", 1, 4, 3, 1000, false, false);
    Submission submission = new Submission("spec", List.of(spec), Optional.empty());
    StepProgress step =
        new ActiveJob(new BatchJob("%016x".formatted(jobs), declared, "o", 0, submission))
            .steps()
            .getFirst();
    List<LiveRun> runs = new ArrayList<>();
    for (int i = 0; i < spec.count(); i++) {
      ExecutorState executor = executors.get(i % executors.size());
      TaskRun name = new TaskRun(step.name(step.tasks().get(i)), 1);
      LiveRun run =
          LiveRun.placed(name, executor.incarnation(), step, "", Optional.empty(), nowNanos);
      run.enter(Stage.STARTING, nowNanos);
      run.enter(Stage.RUNNING, nowNanos);
      step.begin(step.tasks().get(i), run);
      executor.add(run);
      runs.add(run);
    }
    return runs;
  }

  LiveRun startOne(String queue, long estimateMillis, ExecutorState executor) {
    return start(queue, tasks(1, estimateMillis), List.of(executor)).getFirst();
  }

  /** Reports the progress of a run. */
  void report(ExecutorState executor, LiveRun run, double percent) {
    run.progressed((int) percent, nowNanos);
    speeds.progressed(executor, run, new BatchContext(nowNanos, 0));
  }

  /** Reports that a run is done. */
  void done(ExecutorState executor, LiveRun run) {
    speeds.ended(executor, run, RunEnd.DONE, new BatchContext(nowNanos, 0));
    runTimes.ended(run, RunEnd.DONE, nowNanos);
    run.step().end(run.step().tasks().get(run.run().task().index()));
    executor.remove(run);
  }

  double speed(ExecutorState executor) {
    return speeds.speed(executor.incarnation(), nowNanos);
  }

  int speedClass(ExecutorState executor) {
    return ExecutorSpeeds.speedClass(speeds.logSpeed(executor.incarnation(), nowNanos));
  }
}
