package org.fescuehook.bench.policy;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.scheduling.Scheduler.Plan;
import org.fescuehook.logic.scheduling.Scheduler.Start;
import org.fescuehook.logic.scheduling.Scheduler.View;
import org.fescuehook.logic.scheduling.Scheduler.WaitingJob;
import org.fescuehook.logic.trace.ReplayListener;
import org.fescuehook.model.job.Job;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.job.Shape;

/**
 * Measures how much of the free accelerators the largest waiting shape cannot use: of as many as it
 * needs, or of all that are free if these are fewer. Averaged over the time in which a shape waits
 * and accelerators are free. Jobs above their quota do not count as waiting.
 */
final class FragmentationMeter implements ReplayListener {

  private static final double MINUTE_MILLIS = 60_000;

  private double share;
  private int wanted;
  private boolean counts;
  private boolean scattered;
  private long sinceMillis;
  private double shareMillis;
  private double unusableMillis;
  private double wantedMillis;
  private double countedMillis;
  private double scatteredMillis;

  @Override
  public void decided(View view, Plan plan) {
    add(view.nowMillis());
    counts = false;
    scattered = false;
    if (view.waiting().size() == plan.starts().size()) {
      return;
    }
    FreeCapacity free = new FreeCapacity(view);
    Set<JobId> started = new HashSet<>();
    QuotaBook quotas = new QuotaBook(view);
    for (Start s : plan.starts()) {
      Job job = job(view, s.job());
      free.take(s.placement(), job.shape());
      quotas.use(job);
      started.add(s.job());
    }
    measure(free, largest(view, started, quotas));
  }

  private void add(long nowMillis) {
    long length = nowMillis - sinceMillis;
    if (counts) {
      countedMillis += length;
      shareMillis += share * length;
      unusableMillis += share * wanted * length;
      wantedMillis += (double) wanted * length;
    }
    if (scattered) {
      scatteredMillis += length;
    }
    sinceMillis = nowMillis;
  }

  private void measure(FreeCapacity free, Optional<WaitingJob> largest) {
    int accelerators = free.accelerators();
    counts = largest.isPresent() && accelerators > 0;
    if (!counts) {
      return;
    }
    Shape shape = largest.get().job().shape();
    int usable = free.mostMembers(shape, largest.get().avoid()) * shape.perMember().accelerators();
    wanted = Math.min(accelerators, shape.accelerators());
    share = 1 - (double) usable / wanted;
    scattered = accelerators >= shape.accelerators() && usable < shape.accelerators();
  }

  private static Job job(View view, JobId id) {
    return view.waiting().stream()
        .map(WaitingJob::job)
        .filter(j -> j.id().equals(id))
        .findFirst()
        .orElseThrow();
  }

  private static Optional<WaitingJob> largest(View view, Set<JobId> started, QuotaBook quotas) {
    return view.waiting().stream()
        .filter(w -> !started.contains(w.job().id()))
        .filter(w -> w.job().shape().accelerators() > 0)
        .filter(w -> quotas.allows(w.job()))
        .max(Comparator.comparingInt(w -> w.job().shape().accelerators()));
  }

  /** Returns the mean share, 0 to 1. */
  double meanShare() {
    return countedMillis == 0 ? 0 : shareMillis / countedMillis;
  }

  /** Returns the share of all free accelerator hours that such a shape wanted, 0 to 1. */
  double shareOfHours() {
    return wantedMillis == 0 ? 0 : unusableMillis / wantedMillis;
  }

  /** Returns the minutes in which the largest shape waited while enough was free but scattered. */
  double scatteredMinutes() {
    return scatteredMillis / MINUTE_MILLIS;
  }
}
