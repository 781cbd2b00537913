package org.fescuehook.logic.batch.plan;

import java.util.ArrayList;
import java.util.List;

/** The capacity that work which is not urgent leaves free, so that urgent work starts at once. */
final class UrgentReserve {

  /**
   * Share of the accelerators that work which is not urgent leaves free, so that urgent work starts
   * without waiting for others to stop.
   */
  private static final double URGENT_RESERVE_SHARE = 0.35;

  /**
   * The same share for work whose spare time is almost used up. It is not zero, since urgent work
   * soon preempts what starts in the reserved capacity.
   */
  private static final double NEARLY_LATE_RESERVE_SHARE = 0.25;

  private final FleetCapacity available;
  private final FleetCapacity total;
  private final PlacementWaits waits;
  private final NearlyLateUse nearlyLateUse;
  private final List<Planner.HeldBack> heldBack = new ArrayList<>();

  /**
   * Creates the rule for a plan.
   *
   * @param available capacity that is free now, without what the plan has placed so far
   * @param total the whole capacity of the usable executors of the pool
   */
  UrgentReserve(
      FleetCapacity available,
      FleetCapacity total,
      PlacementWaits waits,
      NearlyLateUse nearlyLateUse) {
    this.available = available;
    this.total = total;
    this.waits = waits;
    this.nearlyLateUse = nearlyLateUse;
  }

  /** Returns how many tasks of a step may start without using the reserved capacity. */
  int allowedStarts(WaitingStep waiting) {
    int accelerators = waiting.step().spec().demand().accelerators();
    if (waiting.urgent() || accelerators == 0) {
      return Integer.MAX_VALUE;
    }
    if (waits.serviceIdleFor(waiting, PlacementWaits.IDLE_WAIT_NANOS)) {
      return Integer.MAX_VALUE;
    }
    int allowed = (int) Math.max(0, (available.accelerators() - keptFree(waiting)) / accelerators);
    if (allowed < waiting.startsTogether()) {
      heldBack.add(
          new Planner.HeldBack(
              waiting,
              available.accelerators(),
              (int) Math.ceil(keptFree(waiting)),
              total.accelerators()));
    }
    return allowed;
  }

  /** Returns the accelerators that a step leaves free for urgent work. */
  double keptFree(WaitingStep waiting) {
    if (waiting.urgent()) {
      return 0;
    }
    return total.accelerators()
        * (nearlyLateUse.mayUse(waiting) ? NEARLY_LATE_RESERVE_SHARE : URGENT_RESERVE_SHARE);
  }

  /** Tells whether the step that was last asked for does not start because of it. */
  boolean holdsBack(WaitingStep waiting) {
    return !heldBack.isEmpty() && heldBack.getLast().waiting().equals(waiting);
  }

  /** Returns the steps of which nothing starts because of the reserved capacity. */
  List<Planner.HeldBack> heldBack() {
    return heldBack;
  }
}
