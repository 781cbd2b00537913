package org.fescuehook.logic.scheduling;

/**
 * Parts of the policy that can be switched off, to measure what each earns.
 *
 * @param reclaim borrowers give way to holders
 * @param homes borrowers keep off the homes of guaranteed shapes while there is other room
 * @param correction how declared run times are corrected
 * @param reservations blocked large jobs get a reservation, others are started around it
 * @param ordering short jobs first, weighed against the time waited
 * @param fairness organisations that used much come later
 * @param packing workers and racks are filled tightly
 * @param moves checkpointable borrowers move to make room for a shape
 * @param ageing jobs that waited for the declared bound come before all others
 */
public record PolicyFeatures(
    boolean reclaim,
    boolean homes,
    RunTimeCorrection correction,
    boolean reservations,
    boolean ordering,
    boolean fairness,
    boolean packing,
    boolean moves,
    boolean ageing) {

  /** All parts. */
  public static final PolicyFeatures ALL =
      new PolicyFeatures(true, true, RunTimeCorrection.MEAN, true, true, true, true, true, true);

  /** Returns these parts with reclaim set. */
  public PolicyFeatures withReclaim(boolean value) {
    return new PolicyFeatures(
        value, homes, correction, reservations, ordering, fairness, packing, moves, ageing);
  }

  /** Returns these parts with homes set. */
  public PolicyFeatures withHomes(boolean value) {
    return new PolicyFeatures(
        reclaim, value, correction, reservations, ordering, fairness, packing, moves, ageing);
  }

  /** Returns these parts with correction set. */
  public PolicyFeatures withCorrection(RunTimeCorrection value) {
    return new PolicyFeatures(
        reclaim, homes, value, reservations, ordering, fairness, packing, moves, ageing);
  }

  /** Returns these parts with reservations set. */
  public PolicyFeatures withReservations(boolean value) {
    return new PolicyFeatures(
        reclaim, homes, correction, value, ordering, fairness, packing, moves, ageing);
  }

  /** Returns these parts with ordering set. */
  public PolicyFeatures withOrdering(boolean value) {
    return new PolicyFeatures(
        reclaim, homes, correction, reservations, value, fairness, packing, moves, ageing);
  }

  /** Returns these parts with fairness set. */
  public PolicyFeatures withFairness(boolean value) {
    return new PolicyFeatures(
        reclaim, homes, correction, reservations, ordering, value, packing, moves, ageing);
  }

  /** Returns these parts with packing set. */
  public PolicyFeatures withPacking(boolean value) {
    return new PolicyFeatures(
        reclaim, homes, correction, reservations, ordering, fairness, value, moves, ageing);
  }

  /** Returns these parts with moves set. */
  public PolicyFeatures withMoves(boolean value) {
    return new PolicyFeatures(
        reclaim, homes, correction, reservations, ordering, fairness, packing, value, ageing);
  }

  /** Returns these parts with ageing set. */
  public PolicyFeatures withAgeing(boolean value) {
    return new PolicyFeatures(
        reclaim, homes, correction, reservations, ordering, fairness, packing, moves, value);
  }
}
