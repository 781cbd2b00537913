package org.fescuehook.bench.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.fescuehook.bench.policy.LowerBound.Work;
import org.fescuehook.logic.trace.JobOutcome;
import org.fescuehook.logic.trace.Trace;
import org.fescuehook.logic.trace.TraceEvent;

/** Formats the rows of the table. */
final class PolicyTable {

  private static final String HEADER =
      "| trace | policy | finished | slowdown mean | p50 | p99 | over bound | over pooled"
          + " | fragmentation | of hours | scattered min | breaches | reclaim p99 s | max s | preempted"
          + " | lost acc h | urgent p99 s | late | longest wait | decision p50 CPU ms | p99 CPU ms |";
  private static final int COLUMNS = 21;
  private static final double NANOS_PER_MILLI = 1e6;

  /** Returns the head of the table. */
  List<String> head() {
    return List.of(HEADER, "|" + "---|".repeat(COLUMNS));
  }

  /** Returns the row of one run. */
  String row(String name, Trace trace, Reference reference, PolicyRun run) {
    double[] slowdowns = run.slowdowns();
    double mean = Arrays.stream(slowdowns).average().orElse(Double.NaN);
    double[] reclaims =
        run.guarantees().reclaimMillis().stream().mapToDouble(m -> m / 1000.0).sorted().toArray();
    double[] urgent = run.waits(true);
    var policy = trace.declarations().policy();
    double urgentBound = policy.urgentStartBound().toMillis() / 1000.0;
    List<String> cells = new ArrayList<>();
    cells.add(name);
    cells.add(run.contender().name());
    cells.add(run.count(JobOutcome.End.FINISHED) + "/" + run.outcomes().size());
    cells.add(number(mean));
    cells.add(number(at(slowdowns, 0.5)));
    cells.add(number(at(slowdowns, 0.99)));
    cells.add(number(mean / reference.bound()));
    cells.add(number(mean / reference.pooled()));
    cells.add(number(100 * run.fragmentation().meanShare()) + "%");
    cells.add(number(100 * run.fragmentation().shareOfHours()) + "%");
    cells.add(number(run.fragmentation().scatteredMinutes()));
    cells.add(Integer.toString(run.guarantees().breaches()));
    cells.add(number(at(reclaims, 0.99)));
    cells.add(number(at(reclaims, 1)));
    cells.add(Integer.toString(run.preemptions()));
    cells.add(number(run.lostAcceleratorHours()));
    cells.add(number(at(urgent, 0.99)));
    cells.add(Long.toString(Arrays.stream(urgent).filter(u -> u > urgentBound).count()));
    cells.add(number(at(run.waits(false), 1) / policy.maxWait().toSeconds()));
    cells.add(number(run.decisionNanos().getValueAtPercentile(50) / NANOS_PER_MILLI));
    cells.add(number(run.decisionNanos().getValueAtPercentile(99) / NANOS_PER_MILLI));
    return "| " + String.join(" | ", cells) + " |";
  }

  /** Mean slowdowns that the true run times allow: the proven bound and the pooled reference. */
  record Reference(double bound, double pooled) {

    static Reference of(Trace trace, PolicyRun run) {
      int accelerators =
          trace.declarations().fleet().workers().stream()
              .mapToInt(w -> w.capacity().accelerators())
              .sum();
      List<Work> works = new ArrayList<>();
      for (JobOutcome o : run.outcomes()) {
        if (o.end() == JobOutcome.End.FINISHED) {
          works.add(
              new Work(
                  o.job().submittedMillis() / 1000.0,
                  o.behaviour().runSeconds(),
                  o.job().shape().accelerators()));
        }
      }
      return new Reference(
          new LowerBound(accelerators).meanSlowdown(works),
          new PooledReference(accelerators).meanSlowdown(works));
    }
  }

  /** Returns what a trace holds, in words. */
  String describe(String name, Trace trace, Reference reference) {
    long jobs = trace.events().stream().filter(e -> e instanceof TraceEvent.Submitted).count();
    return "%s: %d workers, %d jobs, %d events; mean slowdown at least %s, pooled reference %s"
        .formatted(
            name,
            trace.declarations().fleet().workers().size(),
            jobs,
            trace.events().size(),
            number(reference.bound()),
            number(reference.pooled()));
  }

  private static double at(double[] sorted, double share) {
    if (sorted.length == 0) {
      return 0;
    }
    return sorted[(int) Math.min(sorted.length - 1L, (long) (share * sorted.length))];
  }

  static String number(double value) {
    if (value >= 100) {
      return String.format(Locale.ROOT, "%.0f", value);
    }
    return String.format(Locale.ROOT, value >= 10 ? "%.1f" : "%.2f", value);
  }
}
