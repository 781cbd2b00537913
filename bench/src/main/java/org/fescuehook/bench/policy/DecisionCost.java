package org.fescuehook.bench.policy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.HdrHistogram.Histogram;
import org.fescuehook.logic.scheduling.FaultyWorkerDetector;
import org.fescuehook.logic.scheduling.GuaranteeScheduler;
import org.fescuehook.logic.scheduling.Scheduler.RunningAttempt;
import org.fescuehook.logic.scheduling.Scheduler.View;
import org.fescuehook.logic.scheduling.Scheduler.WaitingJob;
import org.fescuehook.logic.trace.JobBehaviour;
import org.fescuehook.logic.trace.Replayer;
import org.fescuehook.logic.trace.Trace;
import org.fescuehook.logic.trace.TraceEvent;
import org.fescuehook.model.job.Job;
import org.fescuehook.model.job.JobId;

/** Measures the processor time of a decision at the fullest moment of traces of several sizes. */
final class DecisionCost {

  private static final double[] FACTORS = {0.25, 0.5, 1, 2};
  private static final long LENGTH_MILLIS = 12 * Scenario.HOUR;
  private static final int WAITING = 200;
  private static final int WARM_UP = 300;
  private static final int DECISIONS = 500;
  private static final double NANOS_PER_MILLI = 1e6;

  private final long seed;
  private final List<double[]> points = new ArrayList<>();

  DecisionCost(long seed) {
    this.seed = seed;
  }

  /** Returns the lines of a table, with the slope over the sizes at its end. */
  List<String> measure() {
    List<String> lines = new ArrayList<>();
    lines.add("| workers | running tasks | waiting jobs | decision p50 CPU ms | p99 CPU ms |");
    lines.add("|---|---|---|---|---|");
    for (double factor : FACTORS) {
      lines.add(measure(Scenario.atSize(seed, factor, LENGTH_MILLIS)));
    }
    lines.add("");
    lines.add(
        "p50 grows as the number of workers to the power of " + PolicyTable.number(exponent()));
    return lines;
  }

  private String measure(Trace trace) {
    View fullest = withWaiting(fullest(trace), trace);
    Histogram nanos = time(fullest);
    int workers = trace.declarations().fleet().workers().size();
    double median = nanos.getValueAtPercentile(50) / NANOS_PER_MILLI;
    points.add(new double[] {Math.log(workers), Math.log(median)});
    return "| %d | %d | %d | %s | %s |"
        .formatted(
            workers,
            tasks(fullest),
            fullest.waiting().size(),
            PolicyTable.number(median),
            PolicyTable.number(nanos.getValueAtPercentile(99) / NANOS_PER_MILLI));
  }

  private static View fullest(Trace trace) {
    List<View> fullest = new ArrayList<>();
    Replayer replayer =
        new Replayer(
            trace,
            new GuaranteeScheduler(),
            Optional.of(new FaultyWorkerDetector()),
            (view, plan) -> {
              if (fullest.isEmpty() || tasks(view) > tasks(fullest.getFirst())) {
                fullest.clear();
                fullest.add(view);
              }
            });
    replayer.replay();
    return fullest.getFirst();
  }

  /** Adds other jobs of the trace as waiting ones, the same number for each size. */
  private static View withWaiting(View view, Trace trace) {
    List<WaitingJob> waiting = new ArrayList<>(view.waiting());
    Set<JobId> known = new HashSet<>();
    view.running().forEach(r -> known.add(r.job().id()));
    view.waiting().forEach(w -> known.add(w.job().id()));
    for (TraceEvent e : trace.events()) {
      if (e instanceof TraceEvent.Submitted(Job job, JobBehaviour behaviour)
          && known.add(job.id())) {
        waiting.add(new WaitingJob(job, 0, 0, Set.of()));
      }
      if (waiting.size() >= WAITING) {
        break;
      }
    }
    return new View(
        view.nowMillis(),
        view.declarations(),
        waiting,
        view.running(),
        view.unusable(),
        view.history());
  }

  private static int tasks(View view) {
    int sum = 0;
    for (RunningAttempt r : view.running()) {
      sum += r.placement().members().size();
    }
    return sum;
  }

  private static Histogram time(View view) {
    GuaranteeScheduler policy = new GuaranteeScheduler();
    for (int i = 0; i < WARM_UP; i++) {
      policy.plan(view);
    }
    TimedScheduler timed = new TimedScheduler(policy);
    for (int i = 0; i < DECISIONS; i++) {
      timed.plan(view);
    }
    return timed.nanos();
  }

  /** Returns the slope of the least squares line through the logarithms. */
  private double exponent() {
    double meanX = points.stream().mapToDouble(p -> p[0]).average().orElse(0);
    double meanY = points.stream().mapToDouble(p -> p[1]).average().orElse(0);
    double products = points.stream().mapToDouble(p -> (p[0] - meanX) * (p[1] - meanY)).sum();
    double squares = points.stream().mapToDouble(p -> (p[0] - meanX) * (p[0] - meanX)).sum();
    return products / squares;
  }
}
