package org.fescuehook.logic.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.scheduling.Scheduler.StopCause;
import org.fescuehook.logic.scheduling.VictimSelector.Selection;
import org.fescuehook.logic.scheduling.VictimSelector.Victim;
import org.fescuehook.model.job.Job;
import org.fescuehook.model.job.Shape;

/** Starts jobs on capacity beyond their organisations' guarantees. */
final class BorrowStep {

  private static final double OWN_GUARANTEED_FACTOR = 4;

  private final PlanState state;
  private final GangPlacer placer;
  private final PolicyParts parts;
  private final StopTerms terms;

  BorrowStep(PlanState state, GangPlacer placer, PolicyParts parts) {
    this.state = state;
    this.placer = placer;
    this.parts = parts;
    this.terms = new StopTerms(state.view().declarations().policy());
  }

  /** Starts a job, keeps room for it, or says what it lacks. */
  void accept(Candidate candidate) {
    if (!candidate.mayBorrow()) {
      state.explain(candidate, "guarantees of its organisation are in use; may not borrow", 0);
      return;
    }
    boolean[] avoid = state.avoid(candidate.waiting().avoid());
    if (startNow(candidate, avoid)) {
      return;
    }
    if (candidate.job().urgent() && stopOthers(candidate, avoid)) {
      return;
    }
    state.explain(candidate, missing(candidate.job().shape()), 0);
  }

  private boolean startNow(Candidate candidate, boolean[] avoid) {
    Job job = candidate.job();
    var preference = new WorkerPreference(state, job.shape(), parts.homes(), parts.packing());
    Optional<int[]> workers = placer.place(job.shape(), state.free(), avoid, preference);
    if (workers.isEmpty()) {
      return false;
    }
    state.start(candidate, workers.get(), true);
    return true;
  }

  private boolean stopOthers(Candidate candidate, boolean[] avoid) {
    if (awaitStops(candidate, avoid)) {
      return true;
    }
    Job job = candidate.job();
    Room all = state.index().capacity();
    Optional<Selection> selection =
        new VictimSelector(state.index())
            .select(job.shape(), state.soon(), all, avoid, victims(job));
    if (selection.isEmpty()) {
      return false;
    }
    for (Victim v : selection.get().victims()) {
      state.stop(v.occupant(), terms.stop(v.occupant().running(), StopCause.URGENT, job));
    }
    return awaitStops(candidate, avoid);
  }

  private boolean awaitStops(Candidate candidate, boolean[] avoid) {
    Job job = candidate.job();
    var preference = new WorkerPreference(state, job.shape(), parts.homes(), parts.packing());
    Optional<int[]> workers = placer.place(job.shape(), state.soon(), avoid, preference);
    if (workers.isEmpty()) {
      return false;
    }
    state.hold(job, workers.get());
    long due =
        state.view().nowMillis()
            + state.view().declarations().policy().urgentStartBound().toMillis();
    state.explain(candidate, "waits for attempts that were told to stop", due);
    return true;
  }

  /** Returns borrowers that are not urgent, and work of the same organisation that is not. */
  private List<Victim> victims(Job job) {
    List<Victim> victims = new ArrayList<>();
    for (Occupant o : state.occupants()) {
      Job other = o.running().job();
      if (other.urgent() || state.isStopped(o)) {
        continue;
      }
      double cost = o.stopCost(state.view().nowMillis());
      if (!o.guaranteed()) {
        victims.add(new Victim(o, cost));
      } else if (other.organisation().equals(job.organisation())) {
        victims.add(new Victim(o, cost * OWN_GUARANTEED_FACTOR));
      }
    }
    return victims;
  }

  private String missing(Shape shape) {
    int free = 0;
    for (int w = 0; w < state.index().workerCount(); w++) {
      free += Math.max(0, state.free().accelerators(w));
    }
    if (shape.accelerators() > free) {
      return "needs " + shape.accelerators() + " accelerators, " + free + " are free";
    }
    return "needs "
        + shape.members()
        + " members of "
        + shape.perMember().accelerators()
        + " accelerators in "
        + (shape.maxRacks() == 0 ? "any" : "at most " + shape.maxRacks())
        + " racks; "
        + free
        + " accelerators are free, but scattered";
  }
}
