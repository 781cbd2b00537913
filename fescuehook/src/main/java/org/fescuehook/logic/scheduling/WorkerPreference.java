package org.fescuehook.logic.scheduling;

import org.fescuehook.model.job.Shape;

/**
 * Prefers workers and racks so that jobs without accelerators avoid workers with accelerators,
 * workers and racks are packed tightly and, among equally tight ones, borrowers avoid reserved
 * placements. Workers on which a job failed come last.
 */
final class WorkerPreference implements GangPlacer.Preference {

  // From the highest bit down, a cost consists of: suspect worker, worker with accelerators for a
  // job without, capacity left over on the worker, reserved placement, free capacity of the rack.
  private static final int SUSPECT_COST = 1 << 30;
  private static final int RESERVED_COST = 1 << 19;
  private static final int ACCELERATOR_WORKER_COST = 1 << 29;
  private static final int LEFTOVER_SHIFT = 20;
  private static final int MAX_LEFTOVER = 255;
  private static final int MAX_RACK_COST = RESERVED_COST - 1;

  private final PlanState state;
  private final Shape shape;
  private final boolean avoidReserved;
  private final boolean packing;

  /**
   * Creates the preference for one job.
   *
   * @param avoidReserved whether workers with unused reserved placements come after others that are
   *     as tight
   * @param packing whether workers and racks with the least capacity left over come first
   */
  WorkerPreference(PlanState state, Shape shape, boolean avoidReserved, boolean packing) {
    this.state = state;
    this.shape = shape;
    this.avoidReserved = avoidReserved;
    this.packing = packing;
  }

  @Override
  public int ofWorker(int worker) {
    int cost = state.isSuspect(worker) ? SUSPECT_COST : 0;
    if (avoidReserved && isReserved(worker)) {
      cost |= RESERVED_COST;
    }
    if (!packing) {
      return cost;
    }
    return shape.perMember().accelerators() > 0
        ? cost | leftoverCost(worker)
        : cost | leftoverCostWithoutAccelerators(worker);
  }

  @Override
  public int ofRack(int rack, int members) {
    int reserved = 0;
    int leftover = 0;
    for (int w : state.index().workersOfRack(rack)) {
      reserved += avoidReserved && isReserved(w) ? 1 : 0;
      leftover += Math.max(0, state.free().accelerators(w));
    }
    if (!packing) {
      return reserved > 0 ? RESERVED_COST : 0;
    }
    return (reserved > 0 ? RESERVED_COST : 0) | Math.min(leftover, MAX_RACK_COST);
  }

  private boolean isReserved(int worker) {
    WorkerCapacities reserved = state.guarantees().unused();
    return shape.perMember().accelerators() > 0
        ? reserved.accelerators(worker) > 0
        : reserved.cores(worker) > 0;
  }

  private int leftoverCost(int worker) {
    int unit = shape.perMember().accelerators();
    int free = state.free().accelerators(worker);
    int leftover = Math.min(MAX_LEFTOVER, free - unit * Math.min(shape.members(), free / unit));
    return leftover << LEFTOVER_SHIFT | Math.min(MAX_RACK_COST, state.freeInRackOf(worker));
  }

  private int leftoverCostWithoutAccelerators(int worker) {
    int workerCost =
        state.index().worker(worker).capacity().accelerators() > 0 ? ACCELERATOR_WORKER_COST : 0;
    int leftover = Math.min(MAX_LEFTOVER, Math.max(0, state.free().accelerators(worker)));
    return workerCost
        | leftover << LEFTOVER_SHIFT
        | Math.min(MAX_RACK_COST, state.free().cores(worker));
  }
}
