package org.fescuehook.logic.scheduling;

import org.fescuehook.model.job.Shape;

/**
 * Prefers workers and racks so that work without accelerators keeps off workers with accelerators,
 * what is filled is filled tightly and, among places that are equally tight, borrowers keep off
 * guaranteed homes.
 */
final class WorkerPreference implements GangPlacer.Preference {

  private static final int SUSPECT = 1 << 30;
  private static final int HOME = 1 << 19;
  private static final int WRONG_KIND = 1 << 29;
  private static final int LEFTOVER_SHIFT = 20;
  private static final int MOST_LEFTOVER = 255;
  private static final int MOST_RACK = HOME - 1;

  private final PlanState state;
  private final Shape shape;
  private final boolean offHomes;
  private final boolean packing;

  /**
   * Creates the preference for one job.
   *
   * @param offHomes whether homes of guaranteed shapes come after others that are as tight
   * @param packing whether tight places come first
   */
  WorkerPreference(PlanState state, Shape shape, boolean offHomes, boolean packing) {
    this.state = state;
    this.shape = shape;
    this.offHomes = offHomes;
    this.packing = packing;
  }

  @Override
  public int ofWorker(int worker) {
    int cost = state.isSuspect(worker) ? SUSPECT : 0;
    if (offHomes && isHome(worker)) {
      cost |= HOME;
    }
    if (!packing) {
      return cost;
    }
    return shape.perMember().accelerators() > 0
        ? cost | tightness(worker)
        : cost | tightnessOfCores(worker);
  }

  @Override
  public int ofRack(int rack, int members) {
    int homes = 0;
    int left = 0;
    for (int w : state.index().workersOfRack(rack)) {
      homes += offHomes && isHome(w) ? 1 : 0;
      left += Math.max(0, state.free().accelerators(w));
    }
    if (!packing) {
      return homes > 0 ? HOME : 0;
    }
    return (homes > 0 ? HOME : 0) | Math.min(left, MOST_RACK);
  }

  private boolean isHome(int worker) {
    WorkerCapacities homes = state.guarantees().unused();
    return shape.perMember().accelerators() > 0
        ? homes.accelerators(worker) > 0
        : homes.cores(worker) > 0;
  }

  private int tightness(int worker) {
    int unit = shape.perMember().accelerators();
    int free = state.free().accelerators(worker);
    int left = Math.min(MOST_LEFTOVER, free - unit * Math.min(shape.members(), free / unit));
    return left << LEFTOVER_SHIFT | Math.min(MOST_RACK, state.freeInRackOf(worker));
  }

  private int tightnessOfCores(int worker) {
    int kind = state.index().worker(worker).capacity().accelerators() > 0 ? WRONG_KIND : 0;
    int left = Math.min(MOST_LEFTOVER, Math.max(0, state.free().accelerators(worker)));
    return kind | left << LEFTOVER_SHIFT | Math.min(MOST_RACK, state.free().cores(worker));
  }
}
