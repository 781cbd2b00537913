package org.fescuehook.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.HdrHistogram.Histogram;
import org.fescuehook.logic.scheduling.FaultyWorkerDetector;
import org.fescuehook.logic.trace.JobOutcome;
import org.fescuehook.logic.trace.Replayer;
import org.fescuehook.logic.trace.Trace;

/** One trace replayed against one policy, with all that is measured. */
final class PolicyRun {

  private final Trace trace;
  private final Contender contender;
  private final FragmentationMeter fragmentation = new FragmentationMeter();
  private final GuaranteeWatch guarantees = new GuaranteeWatch();
  private final TimedScheduler scheduler;
  private final List<JobOutcome> outcomes;

  PolicyRun(Trace trace, Contender contender) {
    this.trace = trace;
    this.contender = contender;
    this.scheduler = new TimedScheduler(contender.policy().get());
    this.outcomes = new ArrayList<>();
  }

  /** Replays the trace. */
  PolicyRun run() {
    Optional<FaultyWorkerDetector> judge =
        contender.judges() ? Optional.of(new FaultyWorkerDetector()) : Optional.empty();
    Replayer replayer =
        new Replayer(
            trace,
            scheduler,
            judge,
            (view, plan) -> {
              fragmentation.decided(view, plan);
              guarantees.decided(view, plan);
            });
    outcomes.addAll(replayer.replay());
    return this;
  }

  Trace trace() {
    return trace;
  }

  Contender contender() {
    return contender;
  }

  FragmentationMeter fragmentation() {
    return fragmentation;
  }

  GuaranteeWatch guarantees() {
    return guarantees;
  }

  Histogram decisionNanos() {
    return scheduler.nanos();
  }

  List<JobOutcome> outcomes() {
    return outcomes;
  }

  /** Returns the slowdowns of finished jobs over their own run times, sorted. */
  double[] slowdowns() {
    return outcomes.stream()
        .filter(o -> o.end() == JobOutcome.End.FINISHED)
        .mapToDouble(PolicyRun::slowdown)
        .sorted()
        .toArray();
  }

  private static double slowdown(JobOutcome o) {
    double total = o.endMillis().orElseThrow() - o.job().submittedMillis();
    return total / 1000 / o.behaviour().runSeconds();
  }

  /** Returns the waits for the first start, in seconds, of urgent or of all jobs, sorted. */
  double[] waits(boolean urgentOnly) {
    return outcomes.stream()
        .filter(o -> o.firstStartMillis().isPresent())
        .filter(o -> o.job().urgent() || !urgentOnly)
        .mapToDouble(o -> o.firstStartMillis().getAsLong() - o.job().submittedMillis())
        .map(millis -> millis / 1000)
        .sorted()
        .toArray();
  }

  long count(JobOutcome.End end) {
    return outcomes.stream().filter(o -> o.end() == end).count();
  }

  int preemptions() {
    return outcomes.stream().mapToInt(JobOutcome::preemptions).sum();
  }

  double lostAcceleratorHours() {
    return outcomes.stream().mapToDouble(JobOutcome::lostAcceleratorSeconds).sum() / 3600;
  }
}
