package org.fescuehook.logic.scheduling;

/**
 * Features of the scheduling policy. Each can be switched off to measure its effect.
 *
 * @param reclaim preempts borrowers for jobs that guarantees cover
 * @param avoidReserved lets borrowers avoid reserved placements as long as other capacity is free
 * @param correction method by which declared run times are corrected
 * @param reservations reserves capacity for blocked jobs; other jobs start if they do not delay
 *     them
 * @param ordering orders jobs by slowdown: short jobs first, balanced against the time they have
 *     waited
 * @param fairness puts jobs of organisations with a high use later
 * @param packing packs workers and racks tightly
 * @param moves stops checkpointable borrowers to free a shape; they continue later elsewhere
 * @param ageing puts jobs whose wait is near or beyond the declared maximum before all others that
 *     are not urgent
 */
public record PolicyFeatures(
    boolean reclaim,
    boolean avoidReserved,
    RunTimeCorrection correction,
    boolean reservations,
    boolean ordering,
    boolean fairness,
    boolean packing,
    boolean moves,
    boolean ageing) {

  /** All features. */
  public static final PolicyFeatures ALL =
      new PolicyFeatures(true, true, RunTimeCorrection.MEAN, true, true, true, true, true, true);

  /** Returns a copy with the given value of {@code reclaim}. */
  public PolicyFeatures withReclaim(boolean value) {
    return new PolicyFeatures(
        value, avoidReserved, correction, reservations, ordering, fairness, packing, moves, ageing);
  }

  /** Returns a copy with the given value of {@code avoidReserved}. */
  public PolicyFeatures withAvoidReserved(boolean value) {
    return new PolicyFeatures(
        reclaim, value, correction, reservations, ordering, fairness, packing, moves, ageing);
  }

  /** Returns a copy with the given value of {@code correction}. */
  public PolicyFeatures withCorrection(RunTimeCorrection value) {
    return new PolicyFeatures(
        reclaim, avoidReserved, value, reservations, ordering, fairness, packing, moves, ageing);
  }

  /** Returns a copy with the given value of {@code reservations}. */
  public PolicyFeatures withReservations(boolean value) {
    return new PolicyFeatures(
        reclaim, avoidReserved, correction, value, ordering, fairness, packing, moves, ageing);
  }

  /** Returns a copy with the given value of {@code ordering}. */
  public PolicyFeatures withOrdering(boolean value) {
    return new PolicyFeatures(
        reclaim, avoidReserved, correction, reservations, value, fairness, packing, moves, ageing);
  }

  /** Returns a copy with the given value of {@code fairness}. */
  public PolicyFeatures withFairness(boolean value) {
    return new PolicyFeatures(
        reclaim, avoidReserved, correction, reservations, ordering, value, packing, moves, ageing);
  }

  /** Returns a copy with the given value of {@code packing}. */
  public PolicyFeatures withPacking(boolean value) {
    return new PolicyFeatures(
        reclaim, avoidReserved, correction, reservations, ordering, fairness, value, moves, ageing);
  }

  /** Returns a copy with the given value of {@code moves}. */
  public PolicyFeatures withMoves(boolean value) {
    return new PolicyFeatures(
        reclaim,
        avoidReserved,
        correction,
        reservations,
        ordering,
        fairness,
        packing,
        value,
        ageing);
  }

  /** Returns a copy with the given value of {@code ageing}. */
  public PolicyFeatures withAgeing(boolean value) {
    return new PolicyFeatures(
        reclaim,
        avoidReserved,
        correction,
        reservations,
        ordering,
        fairness,
        packing,
        moves,
        value);
  }
}
