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
public record PolicyParts(
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
  public static final PolicyParts ALL =
      new PolicyParts(true, true, RunTimeCorrection.MEAN, true, true, true, true, true, true);

  /** Returns these parts with reclaim set. */
  public PolicyParts withReclaim(boolean value) {
    return new PolicyParts(
        value, homes, correction, reservations, ordering, fairness, packing, moves, ageing);
  }

  /** Returns these parts with homes set. */
  public PolicyParts withHomes(boolean value) {
    return new PolicyParts(
        reclaim, value, correction, reservations, ordering, fairness, packing, moves, ageing);
  }

  /** Returns these parts with correction set. */
  public PolicyParts withCorrection(RunTimeCorrection value) {
    return new PolicyParts(
        reclaim, homes, value, reservations, ordering, fairness, packing, moves, ageing);
  }

  /** Returns these parts with reservations set. */
  public PolicyParts withReservations(boolean value) {
    return new PolicyParts(
        reclaim, homes, correction, value, ordering, fairness, packing, moves, ageing);
  }

  /** Returns these parts with ordering set. */
  public PolicyParts withOrdering(boolean value) {
    return new PolicyParts(
        reclaim, homes, correction, reservations, value, fairness, packing, moves, ageing);
  }

  /** Returns these parts with fairness set. */
  public PolicyParts withFairness(boolean value) {
    return new PolicyParts(
        reclaim, homes, correction, reservations, ordering, value, packing, moves, ageing);
  }

  /** Returns these parts with packing set. */
  public PolicyParts withPacking(boolean value) {
    return new PolicyParts(
        reclaim, homes, correction, reservations, ordering, fairness, value, moves, ageing);
  }

  /** Returns these parts with moves set. */
  public PolicyParts withMoves(boolean value) {
    return new PolicyParts(
        reclaim, homes, correction, reservations, ordering, fairness, packing, value, ageing);
  }

  /** Returns these parts with ageing set. */
  public PolicyParts withAgeing(boolean value) {
    return new PolicyParts(
        reclaim, homes, correction, reservations, ordering, fairness, packing, moves, value);
  }
}
