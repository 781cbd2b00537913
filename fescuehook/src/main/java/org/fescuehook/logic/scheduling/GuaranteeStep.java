package org.fescuehook.logic.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.scheduling.Scheduler.StopCause;
import org.fescuehook.logic.scheduling.VictimSelector.Selection;
import org.fescuehook.logic.scheduling.VictimSelector.Victim;
import org.fescuehook.model.job.Job;
import org.fescuehook.model.job.Shape;

/** Starts the jobs that guarantees cover, and has borrowers give way to them. */
final class GuaranteeStep {

  private static final double URGENT_FACTOR = 100;

  private final PlanState state;
  private final GangPlacer placer;
  private final PolicyParts parts;
  private final StopTerms terms;

  GuaranteeStep(PlanState state, GangPlacer placer, PolicyParts parts) {
    this.state = state;
    this.placer = placer;
    this.parts = parts;
    this.terms = new StopTerms(state.view().declarations().policy());
  }

  /** Tells whether the job was dealt with: started, or room is kept for it. */
  boolean accept(Candidate candidate) {
    Job job = candidate.job();
    Optional<List<Entitlements.Part>> covered =
        state.entitlements().cover(job.organisation(), job.shape());
    if (covered.isEmpty()) {
      return false;
    }
    boolean[] avoid = state.avoid(candidate.waiting().avoid());
    Room own = state.homes().roomFor(state.unguaranteed(), covered.get());
    return startNow(candidate, covered.get(), own, avoid)
        || startElsewhere(candidate, covered.get(), avoid)
        || awaitStops(candidate, covered.get(), own, avoid)
        || (parts.reclaim() && reclaim(candidate, covered.get(), own, avoid));
  }

  private boolean startNow(
      Candidate candidate, List<Entitlements.Part> covered, Room own, boolean[] avoid) {
    Job job = candidate.job();
    Optional<int[]> workers = place(job.shape(), state.free(), own, avoid);
    if (workers.isEmpty()) {
      return false;
    }
    state.useGuarantee(job, workers.get(), covered);
    state.start(candidate, workers.get(), false);
    return true;
  }

  /** Starts the job on free room that is other holders' home, if these find another home. */
  private boolean startElsewhere(
      Candidate candidate, List<Entitlements.Part> covered, boolean[] avoid) {
    Job job = candidate.job();
    Optional<int[]> workers = place(job.shape(), state.free(), state.unguaranteed(), avoid);
    if (workers.isEmpty() || !state.useGuaranteeElsewhere(job, workers.get(), covered)) {
      return false;
    }
    state.start(candidate, workers.get(), false);
    return true;
  }

  private boolean awaitStops(
      Candidate candidate, List<Entitlements.Part> covered, Room own, boolean[] avoid) {
    Job job = candidate.job();
    Optional<int[]> workers = place(job.shape(), state.soon(), own, avoid);
    if (workers.isEmpty()) {
      return false;
    }
    state.useGuarantee(job, workers.get(), covered);
    state.hold(job, workers.get());
    state.explain(candidate, "waits for borrowers that were told to stop", dueMillis());
    return true;
  }

  private boolean reclaim(
      Candidate candidate, List<Entitlements.Part> covered, Room own, boolean[] avoid) {
    Job job = candidate.job();
    Optional<Selection> selection =
        new VictimSelector(state.index()).select(job.shape(), state.soon(), own, avoid, victims());
    if (selection.isEmpty()) {
      return false;
    }
    for (Victim v : selection.get().victims()) {
      StopCause cause = job.urgent() ? StopCause.URGENT : StopCause.RECLAIMED;
      state.stop(v.occupant(), terms.stop(v.occupant().running(), cause, job));
    }
    return awaitStops(candidate, covered, own, avoid);
  }

  private List<Victim> victims() {
    List<Victim> victims = new ArrayList<>();
    for (Occupant o : state.occupants()) {
      if (o.guaranteed() || state.isStopped(o)) {
        continue;
      }
      double cost = o.stopCost(state.view().nowMillis());
      victims.add(new Victim(o, o.running().job().urgent() ? cost * URGENT_FACTOR : cost));
    }
    return victims;
  }

  private Optional<int[]> place(Shape shape, Room available, Room bound, boolean[] avoid) {
    Room room = available.copy();
    room.lowerTo(bound);
    var preference = new WorkerPreference(state, shape, false, parts.packing());
    return placer.place(shape, room, avoid, preference);
  }

  private long dueMillis() {
    return state.view().nowMillis()
        + state.view().declarations().policy().reclaimBound().toMillis();
  }
}
